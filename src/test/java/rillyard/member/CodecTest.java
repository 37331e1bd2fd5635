package rillyard.member;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class CodecTest {
    private static final long SEED = 20_261_201;
    private static final int HOSTILE = 1_000_000;

    private static Update word(String name, Status status) {
        return new Update(
                new Card(name, new Endpoint(0xC0A80001, 65_535), 255, 7),
                new Life(Life.MAX_START, Life.MAX_INCARNATION),
                status,
                65_535);
    }

    private static Message message(Message.Kind kind) {
        return new Message(
                kind,
                -5,
                77,
                word("a", Status.ALIVE),
                "sixteen-letters!",
                kind == Message.Kind.ASK_FOR_ME ? new Endpoint(1, 1) : null,
                List.of(word("b", Status.SUSPECT), word("c", Status.DEAD), word("d", Status.LEFT)));
    }

    @ParameterizedTest
    @EnumSource(Message.Kind.class)
    void whatIsWrittenIsReadAlikeAtTheEndsOfAllRanges(Message.Kind kind) {
        Message m = message(kind);
        assertThat(Codec.decode(Codec.encode(m, Codec.MAX_BYTES))).isEqualTo(m);
        int words = m.news().stream().mapToInt(Codec::size).sum();
        assertThat(Codec.encode(m, Codec.MAX_BYTES))
                .hasSize(Codec.emptySize(m.sender(), m.target(), m.targetAt() != null) + words);
    }

    @Test
    void whatIsCutOffAnywhereWithinAWordIsTurnedAway() {
        Message m = new Message(Message.Kind.PING, 1, 2, word("a", Status.ALIVE), "b", null, List.of());
        byte[] whole = Codec.encode(m, Codec.MAX_BYTES);
        for (int n = 0; n < whole.length; n++) {
            byte[] part = Arrays.copyOf(whole, n);
            assertThatThrownBy(() -> Codec.decode(part)).isInstanceOf(IllegalArgumentException.class);
        }
    }

    /** Bytes at random, and good datagrams with some bytes changed: read, or turned away in words, never else. */
    @Test
    void hostileBytesAreTurnedAwayOrReadAndChangeNothingThatIsNotTheirs() {
        SplittableRandom random = new SplittableRandom(SEED);
        VirtualFleet f = new VirtualFleet(SEED, 3);
        f.run(5_000);
        VirtualFleet.Node n = f.node(0);
        byte[] good = Codec.encode(
                new Message(
                        Message.Kind.PING,
                        1,
                        2,
                        f.node(1).member.self(),
                        "m0",
                        null,
                        List.of(f.node(2).member.self()),
                        List.of(new Fact(
                                "m1", f.node(1).member.self().life().start(), 3, 1, 0, 60_000, new byte[] {1}))),
                Codec.MAX_BYTES);
        int read = 0;
        for (int i = 0; i < HOSTILE; i++) {
            byte[] b = good.clone();
            if (i % 2 == 0) {
                b = new byte[random.nextInt(300)];
                random.nextBytes(b);
            } else {
                for (int k = 0; k <= random.nextInt(4); k++) {
                    b[random.nextInt(b.length)] = (byte) random.nextInt(256);
                }
            }
            try {
                Message m = Codec.decode(b);
                read++;
                n.member.received(f.now, m.sender().card().at(), m);
            } catch (IllegalArgumentException e) {
                assertThat(e).hasMessageNotContaining("null");
            }
        }
        assertThat(read).as("seed %d", SEED).isBetween(1, HOSTILE / 2);
        assertThat(n.member.others()).hasSizeLessThanOrEqualTo(f.settings.most());
        assertThat(n.member.self().life().incarnation()).isLessThan(Life.MAX_INCARNATION);
    }
}
