package io.kitepath.wire;

import static io.kitepath.wire.ProtocolExamples.json;
import static io.kitepath.wire.ProtocolExamples.received;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.port.Store;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class StoreCodecTest {
    @Test
    void transactionOfTheProtocolIsEncoded() {
        Store.Transaction transaction =
                new Store.Transaction()
                        .requireRevision("a/b", 0)
                        .put("a/b", Map.of("x", 1L), 7)
                        .remove("c/d");
        assertEquals(
                json(
                        """
                {"when":[{"path":"a/b","stamp":0}],
                 "then":[{"write":"a/b","value":{"x":1},"tether":7},{"remove":"c/d"}]}"""),
                MessagePackCodec.decode(StoreCodec.encodeTransaction(transaction)));
    }

    @Test
    void eventsOfTheProtocolAreDecodedWithTheirRevision() {
        Object body =
                received(
                        """
                {"epoch":433,"events":[{"write":"c/9","value":{},"stamp":433},{"remove":"c/d","stamp":432}]}""");
        assertEquals(
                List.of(new Store.Entry("c/9", Map.of(), 433), new Store.Entry("c/d", null, 432)),
                StoreCodec.decodeEvents(body));
        assertEquals(433, StoreCodec.decodeRevision(body));
    }
}
