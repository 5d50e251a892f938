import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each thing sent, answered or run. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... values) {
        double seconds = (System.nanoTime() - mStart) / 1e9;
        mOut.printf(Locale.ROOT, "%8.3f ", seconds);
        mOut.printf(Locale.ROOT, format + "%n", values);
    }

    /** Adds a line and prints it too. */
    synchronized void say(String format, Object... values) {
        add(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
