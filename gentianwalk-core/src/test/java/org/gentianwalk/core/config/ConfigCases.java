package org.gentianwalk.core.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Input files whose comments list the problems that the checks must report. */
final class ConfigCases {
    static final Path RESOURCES = Path.of("src/test/resources/config");

    private static final Pattern EXPECTED =
            Pattern.compile("# problem: ([0-9]+) (\\S+) :: (.+)", Pattern.MULTILINE);

    private ConfigCases() {}

    record Expected(int line, String key, String fragment) {
        boolean matches(Problem problem, String file) {
            return problem.source().file().equals(file)
                    && problem.source().line() == line
                    && problem.key().equals(key.equals("-") ? "" : key)
                    && problem.message().contains(fragment);
        }
    }

    static List<Expected> expected(Path file) throws IOException {
        List<Expected> expected = new ArrayList<>();
        Matcher matcher = EXPECTED.matcher(Files.readString(file));
        while (matcher.find()) {
            expected.add(
                    new Expected(
                            Integer.parseInt(matcher.group(1)),
                            matcher.group(2),
                            matcher.group(3)));
        }
        return expected;
    }

    /** Returns the expected problems that are missing and the problems that are not expected. */
    static List<String> differences(Path file, Collection<Problem> problems) throws IOException {
        String name = String.valueOf(file.getFileName());
        List<Expected> missing = new ArrayList<>(expected(file));
        List<String> differences = new ArrayList<>();
        for (Problem problem : problems) {
            if (!missing.removeIf(each -> each.matches(problem, name))) {
                differences.add("not expected: " + problem);
            }
        }
        missing.forEach(each -> differences.add("not found: " + each));
        return differences;
    }
}
