package org.gentianwalk.core.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/** The files of a settings folder, sorted by name. Instances are immutable. */
public final class ConfigFolder {
    /** Folder without files: the state before the first accepted version. */
    public static final ConfigFolder EMPTY = new ConfigFolder(Map.of());

    private final SortedMap<String, byte[]> mFiles;
    private final Map<String, byte[]> mFileDigests;
    private final byte[] mDigest;

    /**
     * Creates a folder.
     *
     * @param files content by file name; the arrays must not be changed afterwards
     */
    public ConfigFolder(Map<String, byte[]> files) {
        this(new TreeMap<>(files), new HashMap<>());
    }

    private ConfigFolder(SortedMap<String, byte[]> files, Map<String, byte[]> fileDigests) {
        mFiles = Collections.unmodifiableSortedMap(files);
        files.forEach(
                (name, content) ->
                        fileDigests.computeIfAbsent(name, key -> sha256().digest(content)));
        mFileDigests = fileDigests;
        mDigest = digest(files.keySet(), fileDigests);
    }

    /**
     * Reads the {@code .yaml} and {@code .yml} files of a folder; other files are ignored.
     *
     * @param folder the folder
     * @return its files
     * @throws IOException if the folder or a file can't be read
     */
    public static ConfigFolder read(Path folder) throws IOException {
        Map<String, byte[]> files = new HashMap<>();
        try (Stream<Path> entries = Files.list(folder)) {
            for (Path file : entries.filter(Files::isRegularFile).toList()) {
                String name = String.valueOf(file.getFileName());
                if (name.endsWith(".yaml") || name.endsWith(".yml")) {
                    files.put(name, Files.readAllBytes(file));
                }
            }
        }
        return new ConfigFolder(files);
    }

    /**
     * Creates a folder from texts.
     *
     * @param files text by file name
     * @return the folder
     */
    public static ConfigFolder ofTexts(Map<String, String> files) {
        Map<String, byte[]> bytes = new HashMap<>();
        files.forEach((name, text) -> bytes.put(name, text.getBytes(StandardCharsets.UTF_8)));
        return new ConfigFolder(bytes);
    }

    /**
     * Returns the files.
     *
     * @return content by name; the arrays must not be changed
     */
    public SortedMap<String, byte[]> files() {
        return mFiles;
    }

    /**
     * Returns the SHA-256 hash over the names and the SHA-256 hash of each file's content.
     *
     * @return 32 bytes, a copy
     */
    public byte[] digest() {
        return mDigest.clone();
    }

    /**
     * Compares this folder with another one.
     *
     * @param other the other folder
     * @return names of the files that differ or exist in only one of the folders
     */
    public SortedSet<String> changedFiles(ConfigFolder other) {
        SortedSet<String> names = new TreeSet<>();
        mFileDigests.forEach(
                (name, digest) -> {
                    if (!Arrays.equals(digest, other.mFileDigests.get(name))) {
                        names.add(name);
                    }
                });
        other.mFileDigests.keySet().stream()
                .filter(name -> !mFileDigests.containsKey(name))
                .forEach(names::add);
        return names;
    }

    /**
     * Returns a copy with some files replaced, added or removed.
     *
     * @param changed content of replaced and added files by name
     * @param removed names of the files to remove
     * @return the copy
     */
    public ConfigFolder with(Map<String, byte[]> changed, List<String> removed) {
        SortedMap<String, byte[]> files = new TreeMap<>(mFiles);
        Map<String, byte[]> digests = new HashMap<>(mFileDigests);
        files.putAll(changed);
        digests.keySet().removeAll(changed.keySet());
        for (String name : removed) {
            files.remove(name);
            digests.remove(name);
        }
        return new ConfigFolder(files, digests);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigFolder folder && Arrays.equals(mDigest, folder.mDigest);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mDigest);
    }

    private static byte[] digest(Iterable<String> names, Map<String, byte[]> fileDigests) {
        MessageDigest sha = sha256();
        for (String name : names) {
            byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
            sha.update(lengthPrefix(nameBytes));
            sha.update(nameBytes);
            sha.update(fileDigests.get(name));
        }
        return sha.digest();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    private static byte[] lengthPrefix(byte[] bytes) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array();
    }
}
