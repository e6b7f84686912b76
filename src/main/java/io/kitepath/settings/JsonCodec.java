package io.kitepath.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import io.kitepath.core.model.InvalidInputException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts JSON documents to and from maps, lists, strings, numbers, booleans and null. */
public final class JsonCodec {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonCodec() {}

    /**
     * Encodes a value as an indented JSON document; a value of any other type becomes its {@code
     * toString()} text.
     */
    public static byte[] toJson(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            generator.useDefaultPrettyPrinter();
            write(generator, value);
        } catch (IOException e) {
            // Writing to a buffer in memory can't fail.
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray();
            for (Object item : list) {
                write(generator, item);
            }
            generator.writeEndArray();
        } else if (value instanceof Integer number) {
            generator.writeNumber(number);
        } else if (value instanceof Long number) {
            generator.writeNumber(number);
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeString(value.toString());
        }
    }

    /**
     * Parses a JSON document. Integers become {@link Long}, or {@link Double} beyond 63 bits; maps
     * keep the order of the document.
     *
     * @throws InvalidInputException if the text is not exactly one JSON value
     */
    public static Object parseJson(byte[] json) {
        try (JsonParser parser = FACTORY.createParser(json)) {
            if (parser.nextToken() == null) {
                throw new InvalidInputException("is empty");
            }
            Object value = read(parser);
            if (parser.nextToken() != null) {
                throw new InvalidInputException("has more than one value");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(
                    "not JSON: "
                            + e.getOriginalMessage()
                            + ", line "
                            + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()));
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + e.getMessage());
        }
    }

    private static Object read(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMap(parser);
            case START_ARRAY -> readList(parser);
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }

    private static Map<String, Object> readMap(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, read(parser));
        }
        return map;
    }

    private static List<Object> readList(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(read(parser));
        }
        return list;
    }

    private static Object readInteger(JsonParser parser) throws IOException {
        try {
            return parser.getLongValue();
        } catch (JsonProcessingException tooLarge) {
            return parser.getDoubleValue();
        }
    }
}
