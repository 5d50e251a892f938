package org.gentianwalk.core.config.tree;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Parses a YAML file to a {@link Node.Mapping}. */
public final class YamlTree {
    private static final YAMLFactory FACTORY = new YAMLFactory();

    private final String mFile;
    private final List<Defect> mDefects = new ArrayList<>();
    private final Map<String, String> mTexts = new HashMap<>();
    private Source mSource;

    private YamlTree(String file) {
        mFile = file;
        mSource = new Source(file, 1);
    }

    /**
     * A syntax error or an unsupported construct in the file.
     *
     * @param source where it occurs
     * @param key path of the key concerned, or empty
     * @param messageKey key of the message text
     * @param detail value for the message's placeholder
     */
    public record Defect(Source source, String key, String messageKey, String detail) {}

    /**
     * A parsed file.
     *
     * @param root the values
     * @param defects the defects found; if there are any, the values may be incomplete
     */
    public record Parsed(Node.Mapping root, List<Defect> defects) {
        public Parsed {
            defects = List.copyOf(defects);
        }
    }

    /**
     * Parses a file.
     *
     * @param file name for messages
     * @param content the bytes of the file
     * @return the values and the defects found
     */
    public static Parsed parse(String file, byte[] content) {
        YamlTree tree = new YamlTree(file);
        Node.Mapping root = tree.parseDocument(content);
        return new Parsed(root, tree.mDefects);
    }

    private Node.Mapping parseDocument(byte[] content) {
        Node.Mapping empty = new Node.Mapping(new Source(mFile, 1), Map.of());
        try (YAMLParser parser = FACTORY.createParser(content)) {
            JsonToken first = parser.nextToken();
            if (first == null || first == JsonToken.VALUE_NULL) {
                return empty;
            }
            if (first != JsonToken.START_OBJECT) {
                addDefect(line(parser), "", "yaml.not-a-mapping", "");
                return empty;
            }
            Node.Mapping root = parseMapping(parser, source(line(parser)), "");
            if (parser.nextToken() != null) {
                addDefect(line(parser), "", "yaml.second-document", "");
            }
            return root;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            String problem = e.getOriginalMessage().lines().findFirst().orElse("syntax error");
            addDefect(line, "", "yaml.syntax", problem);
            return empty;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Node.Mapping parseMapping(YAMLParser parser, Source source, String path)
            throws IOException {
        Map<String, Node> entries = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            Source keySource = source(line(parser));
            String keyPath = path.isEmpty() ? key : path + "." + key;
            parser.nextToken();
            @Nullable Node value = parseValue(parser, keySource, keyPath);
            if (value == null) {
                continue;
            }
            Node previous = entries.putIfAbsent(key, value);
            if (previous != null) {
                addDefect(
                        keySource.line(),
                        keyPath,
                        "yaml.duplicate-key",
                        String.valueOf(previous.source().line()));
            }
        }
        return new Node.Mapping(source, entries);
    }

    private Node.Sequence parseSequence(YAMLParser parser, Source source, String path)
            throws IOException {
        List<Node> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String itemPath = path + "[" + items.size() + "]";
            @Nullable Node item = parseValue(parser, source(line(parser)), itemPath);
            if (item != null) {
                items.add(item);
            }
        }
        return new Node.Sequence(source, items);
    }

    /** Returns the value, or null when it is not supported and a defect was added. */
    private @Nullable Node parseValue(YAMLParser parser, Source source, String path)
            throws IOException {
        JsonToken token = parser.currentToken();
        if (parser.isCurrentAlias()) {
            addDefect(source.line(), path, "yaml.alias", parser.getText());
            return null;
        }
        return switch (token) {
            case START_OBJECT -> parseMapping(parser, source, path);
            case START_ARRAY -> parseSequence(parser, source, path);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    createScalar(source, parser, Node.ScalarType.NUMBER);
            case VALUE_TRUE, VALUE_FALSE -> createScalar(source, parser, Node.ScalarType.FLAG);
            case VALUE_NULL -> new Node.Scalar(source, "", Node.ScalarType.EMPTY);
            default -> createScalar(source, parser, Node.ScalarType.STRING);
        };
    }

    /** Reuses the strings of equal texts in a file, such as the type of many engines. */
    private Node.Scalar createScalar(Source source, YAMLParser parser, Node.ScalarType type)
            throws IOException {
        String text = parser.getText();
        return new Node.Scalar(source, mTexts.computeIfAbsent(text, same -> same), type);
    }

    /** Reuses the source for consecutive values of the same line. */
    private Source source(int line) {
        if (mSource.line() != line) {
            mSource = new Source(mFile, line);
        }
        return mSource;
    }

    private void addDefect(int line, String key, String messageKey, String detail) {
        mDefects.add(new Defect(new Source(mFile, line), key, messageKey, detail));
    }

    private static int line(YAMLParser parser) {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }
}
