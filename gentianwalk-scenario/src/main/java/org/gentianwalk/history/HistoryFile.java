package org.gentianwalk.history;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and writes histories as JSON lines. */
public final class HistoryFile {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HistoryFile() {}

    /**
     * Writes a history.
     *
     * @param history the history
     * @param file the file to create or replace
     * @throws IOException if the file can't be written
     */
    public static void write(History history, Path file) throws IOException {
        try (BufferedWriter writer = Files.newBufferedWriter(file)) {
            for (HistoryEvent event : history.events()) {
                writer.write(MAPPER.writerFor(HistoryEvent.class).writeValueAsString(event));
                writer.newLine();
            }
        }
    }

    /**
     * Reads a history.
     *
     * @param file a file written by {@link #write}
     * @return the history
     * @throws IOException if the file can't be read or a line isn't an event
     */
    public static History read(Path file) throws IOException {
        History history = new History();
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                history.append(MAPPER.readValue(line, HistoryEvent.class));
            }
        }
        return history;
    }
}
