package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the encoding and decoding of datagrams, malformed and forged ones included. */
class MessageCodecTest {
    private static final long SEED = 20_261_201;
    private static final int HOSTILE_DATAGRAMS = 1_000_000;

    private static MemberUpdate update(String name, MemberStatus status) {
        return new MemberUpdate(
                new MemberIdentity(name, new MemberAddress(0xC0A80001, 65_535), 255, 7),
                new Incarnation(Incarnation.MAX_STARTED_AT_MILLIS, Incarnation.MAX_COUNTER),
                status,
                65_535);
    }

    private static Message message(Message.Kind kind) {
        return new Message(
                kind,
                -5,
                77,
                update("a", MemberStatus.ALIVE),
                "sixteen-letters!",
                kind == Message.Kind.PING_REQUEST ? new MemberAddress(1, 1) : null,
                List.of(
                        update("b", MemberStatus.SUSPECT),
                        update("c", MemberStatus.DEAD),
                        update("d", MemberStatus.LEFT)));
    }

    @ParameterizedTest
    @EnumSource(Message.Kind.class)
    void encodedMessageIsDecodedUnchangedAtLimits(Message.Kind kind) {
        Message message = message(kind);
        assertThat(MessageCodec.decode(MessageCodec.encode(message, MessageCodec.MAX_BYTES)))
                .isEqualTo(message);
        int updateBytes =
                message.updates().stream().mapToInt(MessageCodec::size).sum();
        assertThat(MessageCodec.encode(message, MessageCodec.MAX_BYTES))
                .hasSize(MessageCodec.emptySize(message.sender(), message.target(), message.targetAddress() != null)
                        + updateBytes);
    }

    @Test
    void truncatedMessageIsRejected() {
        Message message = new Message(Message.Kind.PING, 1, 2, update("a", MemberStatus.ALIVE), "b", null, List.of());
        byte[] complete = MessageCodec.encode(message, MessageCodec.MAX_BYTES);
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThatThrownBy(() -> MessageCodec.decode(truncated)).isInstanceOf(IllegalArgumentException.class);
        }
    }

    /** Random bytes, and valid datagrams with some bytes changed, are decoded or rejected with a reason. */
    @Test
    void hostileBytesAreRejectedOrHarmless() {
        SplittableRandom random = new SplittableRandom(SEED);
        VirtualFleet fleet = new VirtualFleet(SEED, 3);
        fleet.run(5_000);
        VirtualFleet.Node node = fleet.node(0);
        byte[] valid = MessageCodec.encode(
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
        int decoded = 0;
        for (int i = 0; i < HOSTILE_DATAGRAMS; i++) {
            byte[] datagram = valid.clone();
            if (i % 2 == 0) {
                datagram = new byte[random.nextInt(300)];
                random.nextBytes(datagram);
            } else {
                for (int k = 0; k <= random.nextInt(4); k++) {
                    datagram[random.nextInt(datagram.length)] = (byte) random.nextInt(256);
                }
            }
            try {
                Message message = MessageCodec.decode(datagram);
                decoded++;
                node.member.onMessage(
                        fleet.nowMillis, message.sender().identity().address(), message);
            } catch (IllegalArgumentException e) {
                assertThat(e).hasMessageNotContaining("null");
            }
        }
        assertThat(decoded).as("seed %d", SEED).isBetween(1, HOSTILE_DATAGRAMS / 2);
        assertThat(node.member.others()).hasSizeLessThanOrEqualTo(fleet.settings.maxMembers());
        assertThat(node.member.self().incarnation().counter()).isLessThan(Incarnation.MAX_COUNTER);
    }
}
