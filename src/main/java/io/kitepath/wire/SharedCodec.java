package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import java.util.Map;

/** The parts of messages that more than one neighbour of a node has. */
public final class SharedCodec {
    private SharedCodec() {}

    /** The body of an error response that tells its reader the reason. */
    public static byte[] encodeError(String reason) {
        return MessagePackCodec.encode(Map.of("error", reason));
    }

    /** The reason in the body of an error response, empty if there is none. */
    public static String decodeErrorReason(Object body) {
        return DocumentReader.of(body).textOr("error", "");
    }

    /** Whether a page of a listing ends before the listing does. */
    public static boolean isTruncated(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return document.has("truncated") && document.flag("truncated");
    }
}
