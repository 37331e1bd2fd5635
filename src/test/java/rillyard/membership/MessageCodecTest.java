package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MessageCodecTest {
    private static final long SEED = 20_261_201;
    private static final int HOSTILE = 1_000_000;

    private static MemberUpdate word(String name, MemberStatus status) {
        return new MemberUpdate(
                new MemberIdentity(name, new MemberAddress(0xC0A80001, 65_535), 255, 7),
                new Incarnation(Incarnation.MAX_START, Incarnation.MAX_INCARNATION),
                status,
                65_535);
    }

    private static Message message(Message.Kind kind) {
        return new Message(
                kind,
                -5,
                77,
                word("a", MemberStatus.ALIVE),
                "sixteen-letters!",
                kind == Message.Kind.ASK_FOR_ME ? new MemberAddress(1, 1) : null,
                List.of(word("b", MemberStatus.SUSPECT), word("c", MemberStatus.DEAD), word("d", MemberStatus.LEFT)));
    }

    @ParameterizedTest
    @EnumSource(Message.Kind.class)
    void whatIsWrittenIsReadAlikeAtTheEndsOfAllRanges(Message.Kind kind) {
        Message m = message(kind);
        assertThat(MessageCodec.decode(MessageCodec.encode(m, MessageCodec.MAX_BYTES)))
                .isEqualTo(m);
        int words = m.updates().stream().mapToInt(MessageCodec::size).sum();
        assertThat(MessageCodec.encode(m, MessageCodec.MAX_BYTES))
                .hasSize(MessageCodec.emptySize(m.sender(), m.target(), m.targetAt() != null) + words);
    }

    @Test
    void whatIsCutOffAnywhereWithinAWordIsTurnedAway() {
        Message message = new Message(Message.Kind.PING, 1, 2, word("a", MemberStatus.ALIVE), "b", null, List.of());
        byte[] whole = MessageCodec.encode(message, MessageCodec.MAX_BYTES);
        for (int n = 0; n < whole.length; n++) {
            byte[] part = Arrays.copyOf(whole, n);
            assertThatThrownBy(() -> MessageCodec.decode(part)).isInstanceOf(IllegalArgumentException.class);
        }
    }

    /** Bytes at random, and good datagrams with some bytes changed: read, or turned away in words, never else. */
    @Test
    void hostileBytesAreTurnedAwayOrReadAndChangeNothingThatIsNotTheirs() {
        SplittableRandom random = new SplittableRandom(SEED);
        VirtualFleet fleet = new VirtualFleet(SEED, 3);
        fleet.run(5_000);
        VirtualFleet.Node node = fleet.node(0);
        byte[] good = MessageCodec.encode(
                new Message(
                        Message.Kind.PING,
                        1,
                        2,
                        fleet.node(1).member.self(),
                        "m0",
                        null,
                        List.of(fleet.node(2).member.self()),
                        List.of(new MemberAttribute(
                                "m1",
                                fleet.node(1).member.self().incarnation().startedAtMillis(),
                                3,
                                1,
                                0,
                                60_000,
                                new byte[] {1}))),
                MessageCodec.MAX_BYTES);
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
                Message message = MessageCodec.decode(b);
                read++;
                node.member.onMessage(fleet.now, message.sender().identity().address(), message);
            } catch (IllegalArgumentException e) {
                assertThat(e).hasMessageNotContaining("null");
            }
        }
        assertThat(read).as("seed %d", SEED).isBetween(1, HOSTILE / 2);
        assertThat(node.member.others()).hasSizeLessThanOrEqualTo(fleet.settings.maxMembers());
        assertThat(node.member.self().incarnation().counter()).isLessThan(Incarnation.MAX_INCARNATION);
    }
}
