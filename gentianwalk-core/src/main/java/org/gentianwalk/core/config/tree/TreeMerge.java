package org.gentianwalk.core.config.tree;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges trees: mappings are merged key by key; any other value is replaced by the later one.
 * Subtrees that only one file sets are not copied, so that a reader can detect by identity what
 * changed since the previous merge.
 */
public final class TreeMerge {
    private TreeMerge() {}

    /**
     * Merges files in the given order, in time linear in the sum of their sizes.
     *
     * @param files the trees of the files; later ones override earlier ones
     * @return the merged tree; each value keeps its source
     */
    public static Node.Mapping merge(Iterable<Node.Mapping> files) {
        List<Node.Mapping> all = new ArrayList<>();
        files.forEach(all::add);
        return merge(Source.DEFAULT, all);
    }

    private static Node.Mapping merge(Source source, List<Node.Mapping> layers) {
        Map<String, List<Node>> values = new LinkedHashMap<>();
        for (Node.Mapping layer : layers) {
            for (Map.Entry<String, Node> entry : layer.entries().entrySet()) {
                // Most keys are set by one file only, and most lists have one item.
                values.computeIfAbsent(entry.getKey(), key -> new ArrayList<>(1))
                        .add(entry.getValue());
            }
        }
        Map<String, Node> merged = new LinkedHashMap<>();
        values.forEach((key, nodes) -> merged.put(key, mergeValues(nodes)));
        return new Node.Mapping(source, merged);
    }

    /** Merges the mappings that follow the last value that is not a mapping. */
    private static Node mergeValues(List<Node> nodes) {
        Node last = nodes.getLast();
        if (nodes.size() == 1 || !(last instanceof Node.Mapping)) {
            return last;
        }
        List<Node.Mapping> layers = new ArrayList<>();
        for (Node node : nodes) {
            if (node instanceof Node.Mapping mapping) {
                layers.add(mapping);
            } else {
                layers.clear();
            }
        }
        return layers.size() == 1 ? last : merge(layers.getFirst().source(), layers);
    }
}
