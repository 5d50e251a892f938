import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON; numbers are longs or doubles. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    private char skip() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        switch (skip()) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                mAt++;
                while (skip() != '}') {
                    String key = string();
                    skip();
                    mAt++;
                    map.put(key, value());
                    if (skip() == ',') {
                        mAt++;
                    }
                }
                mAt++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                mAt++;
                while (skip() != ']') {
                    list.add(value());
                    if (skip() == ',') {
                        mAt++;
                    }
                }
                mAt++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int start = mAt;
                while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
                    mAt++;
                }
                String word = mText.substring(start, mAt);
                return switch (word) {
                    case "true" -> true;
                    case "false" -> false;
                    case "null" -> null;
                    default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
                };
            }
        }
    }

    private String string() {
        skip();
        StringBuilder text = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c == '\\') {
                c = mText.charAt(mAt++);
                switch (c) {
                    case 'n' -> text.append('\n');
                    case 't' -> text.append('\t');
                    case 'r' -> text.append('\r');
                    case 'b' -> text.append('\b');
                    case 'f' -> text.append('\f');
                    case 'u' -> {
                        text.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                        mAt += 4;
                    }
                    default -> text.append(c);
                }
            } else {
                text.append(c);
            }
        }
        mAt++;
        return text.toString();
    }

    static String text(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
