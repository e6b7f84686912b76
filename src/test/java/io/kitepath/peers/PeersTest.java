package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The nodes' own channel, where connections break. */
class PeersTest {
    @Test
    void oneConnectionThatClosesAsItIsWrittenToDoesNotKeepTheOthersFromBeingTold() {
        Map<String, Channel> channels = new HashMap<>();
        for (String s : List.of("k1", "k2", "k3")) {
            EmbeddedChannel ch = new EmbeddedChannel();
            channels.put(s, ch);
            ch.closeFuture().addListener(f -> channels.remove(s));
        }
        List<Channel> told = new ArrayList<>();
        Peers.toAll(channels.values(), ch -> {
            told.add(ch);
            if (told.size() == 1) {
                ch.close();
            }
        });
        assertEquals(3, told.size());
        assertEquals(2, channels.size());
    }
}
