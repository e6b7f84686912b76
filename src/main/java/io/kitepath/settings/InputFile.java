package io.kitepath.settings;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.Function;

/** Reads and parses files provided by operators. */
final class InputFile {
    private static final int MAX_PORT = 65535;

    private InputFile() {}

    /**
     * Returns the result of parsing the file's bytes.
     *
     * @throws InvalidInputException that names the file and the reason
     */
    static <T> T read(Path file, Function<byte[], T> parser) {
        byte[] bytes = readBytes(file);
        try {
            return parser.apply(bytes);
        } catch (InvalidInputException invalid) {
            throw new InvalidInputException(file + ": " + invalid.getMessage());
        }
    }

    private static byte[] readBytes(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw new InvalidInputException(file + ": no such file");
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read: " + e.getMessage());
        }
    }

    /** Returns the numeric IPv4 address and port in a field; host names are not resolved. */
    static InetSocketAddress address(DocumentReader document, String field) {
        String text = document.text(field);
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") && port > 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Rejected below, like any other text that is not an address.
        }
        throw document.invalid(
                field, "must be an address such as 10.0.0.1:8080, not \"" + text + "\"");
    }
}
