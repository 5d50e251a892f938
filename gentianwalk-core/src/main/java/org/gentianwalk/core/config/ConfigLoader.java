package org.gentianwalk.core.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.gentianwalk.core.config.check.Check;
import org.gentianwalk.core.config.check.CheckRun;
import org.gentianwalk.core.config.check.Checks;
import org.gentianwalk.core.config.schema.FolderSchema;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.config.tree.Source;
import org.gentianwalk.core.config.tree.TreeMerge;
import org.gentianwalk.core.config.tree.YamlTree;
import org.jspecify.annotations.Nullable;

/**
 * Loads a settings folder: parses and checks each file, merges the files in the order of their
 * names and checks the result. Parsed trees of unchanged files are cached from the previous load,
 * since most changes touch one file of many. Not thread-safe.
 */
public final class ConfigLoader {
    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*\\.ya?ml");

    private final RulesReader mReader = new RulesReader();
    private Map<String, ParsedFile> mParsedFiles = Map.of();

    /** A file with the result of parsing and checking it. */
    private record ParsedFile(byte[] content, Node.Mapping root, List<Problem> problems) {}

    /**
     * Loads a folder and runs all checks.
     *
     * @param folder the files
     * @param version version of the result, 0 for settings that have not been committed
     * @return the settings, or all problems found
     */
    public LoadResult load(ConfigFolder folder, long version) {
        List<Problem> problems = parse(folder);
        Node.Mapping merged = mergeFiles();
        CheckRun run = new CheckRun();
        if (folder.files().isEmpty()) {
            run.report(new Source("(folder)", 0), "", "file.none");
        } else {
            Checks.SCHEMA.forEach(check -> check.checkMerged(run, FolderSchema.ROOT, merged));
            Checks.FOLDER.forEach(check -> check.checkMerged(run, FolderSchema.ROOT, merged));
        }
        problems.addAll(run.problems());
        if (!problems.isEmpty()) {
            return new LoadResult.Refused(problems.stream().sorted().distinct().toList());
        }
        return new LoadResult.Loaded(mReader.read(merged, version));
    }

    /**
     * Loads an accepted version. The instance that committed it has already checked the references
     * between the files, so only the content of changed files is checked here.
     *
     * @param folder the files
     * @param version the accepted version
     * @return the settings, or the problems that prevent this release from reading them
     */
    public LoadResult loadAccepted(ConfigFolder folder, long version) {
        List<Problem> problems = parse(folder);
        if (!problems.isEmpty()) {
            return new LoadResult.Refused(problems.stream().sorted().distinct().toList());
        }
        try {
            return new LoadResult.Loaded(mReader.read(mergeFiles(), version));
        } catch (RuntimeException e) {
            Source source = new Source("(folder)", 0);
            return new LoadResult.Refused(List.of(new Problem(source, "", String.valueOf(e))));
        }
    }

    private Node.Mapping mergeFiles() {
        List<Node.Mapping> trees = new ArrayList<>();
        mParsedFiles.values().forEach(file -> trees.add(file.root()));
        return TreeMerge.merge(trees);
    }

    private List<Problem> parse(ConfigFolder folder) {
        List<Problem> problems = new ArrayList<>();
        Map<String, ParsedFile> parsed = new LinkedHashMap<>();
        for (Map.Entry<String, byte[]> entry : folder.files().entrySet()) {
            ParsedFile file = parseFile(entry.getKey(), entry.getValue());
            parsed.put(entry.getKey(), file);
            problems.addAll(file.problems());
        }
        mParsedFiles = parsed;
        return problems;
    }

    private ParsedFile parseFile(String name, byte[] content) {
        @Nullable ParsedFile cached = mParsedFiles.get(name);
        if (cached != null && Arrays.equals(cached.content(), content)) {
            return cached;
        }
        CheckRun run = new CheckRun();
        if (!FILE_NAME.matcher(name).matches()) {
            run.report(new Source(name, 1), "", "file.name", name);
        }
        YamlTree.Parsed parsed = YamlTree.parse(name, content);
        for (YamlTree.Defect defect : parsed.defects()) {
            run.report(defect.source(), defect.key(), defect.messageKey(), defect.detail());
        }
        for (Check check : Checks.SCHEMA) {
            check.checkFile(run, FolderSchema.ROOT, parsed.root());
        }
        return new ParsedFile(content, parsed.root(), List.copyOf(run.problems()));
    }
}
