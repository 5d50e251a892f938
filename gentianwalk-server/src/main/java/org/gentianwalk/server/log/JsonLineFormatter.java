package org.gentianwalk.server.log;

import java.io.Writer;
import java.util.HashMap;
import java.util.Map;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.formatters.JsonFormatter;

/** Formats each log record as one line of JSON with its {@link Fields}. */
final class JsonLineFormatter extends JsonFormatter {
    /** Field names by key; fields with an empty name are omitted. */
    private static final Map<Key, String> KEYS = new HashMap<>();

    static {
        for (Key key :
                new Key[] {
                    Key.LOGGER_CLASS_NAME, Key.HOST_NAME, Key.PROCESS_NAME, Key.NDC, Key.MDC
                }) {
            KEYS.put(key, "");
        }
        KEYS.put(Key.PROCESS_ID, "pid");
        KEYS.put(Key.TIMESTAMP, "time");
        KEYS.put(Key.LOGGER_NAME, "logger");
        KEYS.put(Key.THREAD_NAME, "thread");
    }

    /** Creates a formatter that adds the instance's name to each line. */
    JsonLineFormatter(String instance) {
        super(KEYS);
        setMetaData("instance=" + instance);
    }

    @Override
    protected Generator createGenerator(Writer writer) {
        return new NamedFieldsGenerator(super.createGenerator(writer));
    }

    @Override
    protected void after(Generator generator, ExtLogRecord record) throws Exception {
        Object[] parameters = record.getParameters();
        if (parameters == null || parameters.length == 0) {
            return;
        }
        if (parameters[0] instanceof Fields fields) {
            for (Map.Entry<String, Object> field : fields.values().entrySet()) {
                write(generator, field.getKey(), field.getValue());
            }
        }
    }

    private static void write(Generator generator, String name, Object value) throws Exception {
        switch (value) {
            case Integer number -> generator.add(name, number.intValue());
            case Long number -> generator.add(name, number.longValue());
            case Map<?, ?> map -> {
                Map<String, Object> texts = new java.util.LinkedHashMap<>();
                map.forEach((key, item) -> texts.put(String.valueOf(key), item));
                generator.add(name, texts);
            }
            default -> generator.add(name, String.valueOf(value));
        }
    }

    /** Omits fields whose name is empty; the log manager would write them under the empty name. */
    private static final class NamedFieldsGenerator implements Generator {
        private final Generator mTarget;

        NamedFieldsGenerator(Generator target) {
            mTarget = target;
        }

        @Override
        public Generator begin() throws Exception {
            mTarget.begin();
            return this;
        }

        @Override
        public Generator add(String name, int value) throws Exception {
            if (!name.isEmpty()) {
                mTarget.add(name, value);
            }
            return this;
        }

        @Override
        public Generator add(String name, long value) throws Exception {
            if (!name.isEmpty()) {
                mTarget.add(name, value);
            }
            return this;
        }

        @Override
        public Generator add(String name, Map<String, ?> value) throws Exception {
            if (!name.isEmpty()) {
                mTarget.add(name, value);
            }
            return this;
        }

        @Override
        public Generator add(String name, String value) throws Exception {
            if (!name.isEmpty()) {
                mTarget.add(name, value);
            }
            return this;
        }

        @Override
        public Generator startObject(String name) throws Exception {
            mTarget.startObject(name);
            return this;
        }

        @Override
        public Generator endObject() throws Exception {
            mTarget.endObject();
            return this;
        }

        @Override
        public Generator startArray(String name) throws Exception {
            mTarget.startArray(name);
            return this;
        }

        @Override
        public Generator endArray() throws Exception {
            mTarget.endArray();
            return this;
        }

        @Override
        public Generator end() throws Exception {
            mTarget.end();
            return this;
        }

        @Override
        public boolean wrapArrays() {
            return mTarget.wrapArrays();
        }
    }
}
