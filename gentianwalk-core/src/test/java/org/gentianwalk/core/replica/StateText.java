package org.gentianwalk.core.replica;

import com.google.protobuf.MessageLite;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** Describes the state of objects without I/O, so that an exploration recognizes visited states. */
final class StateText {
    private static final Map<Class<?>, List<Field>> FIELDS = new ConcurrentHashMap<>();

    private StateText() {}

    static String of(Object object) {
        StringBuilder text = new StringBuilder();
        describe(object, text);
        return text.toString();
    }

    private static List<Field> fields(Class<?> type) {
        List<Field> fields = new ArrayList<>();
        for (Field field : type.getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !field.getName().equals("mOptions")) {
                field.setAccessible(true);
                fields.add(field);
            }
        }
        return fields;
    }

    private static void describe(Object object, StringBuilder text) {
        if (object instanceof MessageLite || object instanceof Record) {
            text.append(object.hashCode());
        } else if (object instanceof Map<?, ?> map) {
            TreeSet<String> entries = new TreeSet<>();
            map.forEach((key, value) -> entries.add(of(key) + '=' + of(value)));
            text.append(entries);
        } else if (object instanceof Collection<?> all) {
            all.forEach(element -> describe(element, text.append(',')));
        } else if (object != null
                && object.getClass().getName().startsWith("org.gentianwalk.core.replica")
                && !(object instanceof Enum<?>)
                && !object.getClass().isHidden()) {
            for (Field field : FIELDS.computeIfAbsent(object.getClass(), StateText::fields)) {
                try {
                    describe(field.get(object), text.append('|'));
                } catch (IllegalAccessException e) {
                    throw new IllegalStateException(e);
                }
            }
        } else {
            text.append(object);
        }
    }
}
