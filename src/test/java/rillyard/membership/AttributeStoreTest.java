package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What members say of themselves, over whole fleets on a virtual clock; the seeds stand in the calls. */
class AttributeStoreTest {
    private static final double S = 1_000;
    private static final int KIND = 3;

    private static VirtualFleet joined(long seed, int members) {
        VirtualFleet f = new VirtualFleet(seed, members);
        assertThat(f.untilAgreed(30 * S)).as("joined").isNotNegative();
        return f;
    }

    private static void say(VirtualFleet f, int i, int value, double lasts) {
        byte[] bytes = value < 0 ? new byte[0] : new byte[] {(byte) value};
        f.node(i).member.say(f.now - f.node(i).startedAt, KIND, bytes, lasts, true);
    }

    /** What member {@code by} holds of member {@code i}; -1 for nothing. */
    private static int held(VirtualFleet f, int by, int i) {
        Map<String, MemberAttribute> facts = f.node(by).member.facts(f.now - f.node(by).startedAt, KIND);
        MemberAttribute fact = facts.get("m" + i);
        return fact == null ? -1 : fact.value()[0];
    }

    private static boolean allHold(VirtualFleet f, int i, int value) {
        return f.nodes.values().stream()
                .filter(n -> !n.dead && !n.name.equals("m" + i))
                .allMatch(n -> held(f, Integer.parseInt(n.name.substring(1)), i) == value);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3})
    void aFactAndItsChangesAreHeldByAllWithinSeconds(double loss) {
        VirtualFleet f = joined(1, 50);
        f.loss = loss;
        f.doubled = loss;
        f.delay = 40;
        say(f, 4, 1, 60 * S);
        assertThat(f.until(10 * S, () -> allHold(f, 4, 1))).as("time (ms)").isBetween(0.0, 10 * S);
        say(f, 4, 2, 60 * S);
        assertThat(f.until(10 * S, () -> allHold(f, 4, 2))).as("time (ms)").isBetween(0.0, 10 * S);
        say(f, 4, -1, 60 * S);
        assertThat(f.until(10 * S, () -> allHold(f, 4, -1))).as("time (ms)").isBetween(0.0, 10 * S);
        f.run(100 * S);
        assertThat(allHold(f, 4, -1)).isTrue();
    }

    @Test
    void aFactThatIsSaidOnceEndsByItselfAndIsNeverYounger() {
        VirtualFleet f = joined(9, 20);
        f.node(4).member.say(f.now - f.node(4).startedAt, KIND, new byte[] {1}, 9 * S, false);
        assertThat(f.until(5 * S, () -> allHold(f, 4, 1))).as("time (ms)").isBetween(0.0, 5 * S);
        f.run(4 * S); // past a third of its time, at which one that is said again would be
        MemberAttribute held =
                f.node(7).member.facts(f.now - f.node(7).startedAt, KIND).get("m4");
        assertThat(held.age()).isGreaterThan(4 * S);
        assertThat(held.version()).isZero();
        assertThat(f.until(10 * S, () -> allHold(f, 4, -1))).as("time (ms)").isBetween(0.0, 6 * S);
        say(f, 4, 2, 9 * S);
        f.run(30 * S);
        assertThat(allHold(f, 4, 2)).as("said again where that was asked for").isTrue();
    }

    @Test
    void aFactThatIsNotSaidAgainEndsAndOneThatIsStays() {
        VirtualFleet f = joined(2, 20);
        say(f, 4, 1, 12 * S);
        f.run(120 * S);
        assertThat(allHold(f, 4, 1)).isTrue();
        // Heard by none, it is suspected and held dead: what it said is over at the latest with its time.
        f.links = (a, b) -> !a.equals("m4");
        assertThat(f.until(13 * S, () -> allHold(f, 4, -1))).isNotNegative();
        assertThat(held(f, 4, 4)).isEqualTo(1);
        f.links = (a, b) -> true;
        assertThat(f.until(30 * S, () -> allHold(f, 4, 1))).isNotNegative();
    }

    @Test
    void whoJoinsLaterHearsOfItAndAnotherLifeBeginsAnew() {
        VirtualFleet f = joined(3, 20);
        say(f, 4, 1, 30 * S);
        say(f, 5, 7, 30 * S);
        f.run(5 * S);
        f.kill(4);
        f.kill(9);
        f.run(1 * S);
        f.start(4);
        f.start(9);
        assertThat(f.until(12 * S, () -> held(f, 9, 5) == 7 && allHold(f, 4, -1)))
                .as("time (ms)")
                .isNotNegative();
        say(f, 4, 2, 30 * S);
        assertThat(f.until(10 * S, () -> allHold(f, 4, 2))).isNotNegative();
    }

    @Test
    void anOldWordAndAMadeUpOneChangeNothing() {
        VirtualFleet f = joined(4, 20);
        say(f, 4, 1, 30 * S);
        f.run(5 * S);
        say(f, 4, 2, 30 * S);
        f.run(5 * S);
        long start = f.node(4).member.self().life().start();
        for (int i = 0; i < 20; i++) {
            tell(f, i, new MemberAttribute("m4", start, KIND, 0, 0, 30 * S, new byte[] {1})); // late by 10 s
            tell(f, i, new MemberAttribute("m4", start, KIND, MemberAttribute.MAX_VERSION, 0, 30 * S, new byte[] {9
            })); // nobody could follow
            tell(f, i, new MemberAttribute("m4", start - 1, KIND, 500, 0, 30 * S, new byte[] {9}));
            tell(f, i, new MemberAttribute("m99", start, KIND, 0, 0, 30 * S, new byte[] {9}));
        }
        assertThat(allHold(f, 4, 2)).isTrue();
        assertThat(f.node(7).member.facts(f.now, KIND)).containsOnlyKeys("m4");
        // One that could be: its owner hears of it, and has the last word.
        tell(f, 7, new MemberAttribute("m4", start, KIND, 900, 0, 30 * S, new byte[] {9}));
        tell(f, 7, new MemberAttribute("m5", f.node(5).member.self().life().start(), KIND, 900, 0, 30 * S, new byte[] {9
        }));
        assertThat(f.until(20 * S, () -> allHold(f, 4, 2) && allHold(f, 5, -1)))
                .as("time (ms)")
                .isNotNegative();
        f.run(60 * S);
        assertThat(allHold(f, 4, 2) && allHold(f, 5, -1)).isTrue();
    }

    private static void tell(VirtualFleet f, int i, MemberAttribute fact) {
        VirtualFleet.Node liar = f.node(0);
        if (i != 0) {
            f.node(i)
                    .member
                    .received(
                            f.now - f.node(i).startedAt,
                            liar.at,
                            new Message(
                                    Message.Kind.NEWS, 0, 0, liar.member.self(), "", null, List.of(), List.of(fact)));
        }
    }

    /** Others would turn it away: so it is told at once that it is not said, and the last one stays. */
    @Test
    void whoSaysMoreThanAnybodyWouldBelieveIsToldSo() {
        VirtualFleet f = joined(6, 3);
        Membership m = f.node(0).member;
        int said = 0;
        while (m.say(f.now, KIND, new byte[] {(byte) (said % 100)}, 60 * S, true)) {
            said++;
        }
        assertThat(said)
                .isBetween(37_000, 38_000); // the first 1,024, and ten a second for the hour that clocks may differ by
        int last = (said - 1) % 100;
        assertThat(f.until(10 * S, () -> allHold(f, 0, last))).isNotNegative();
        assertThat(m.say(f.now, KIND, new byte[] {1}, 60 * S, true))
                .as("ten seconds later")
                .isTrue();
    }

    @Test
    void bytesAreWhatWasWrittenOrTurnedAway() {
        MemberAttribute fact = new MemberAttribute(
                "m4", 1_700_000_000_000L, 15, MemberAttribute.MAX_VERSION, 1_200, MemberAttribute.MAX_MS, new byte[] {
                    1, 2, 3
                });
        MemberUpdate self = joined(5, 2).node(0).member.self();
        Message m = new Message(Message.Kind.NEWS, 1, 2, self, "", null, List.of(), List.of(fact, fact));
        byte[] bytes = MessageCodec.encode(m, MessageCodec.MAX_BYTES);
        assertThat(bytes).hasSize(MessageCodec.emptySize(self, "", false) + 2 * fact.size());
        assertThat(MessageCodec.decode(bytes)).isEqualTo(m);
        byte[] cut = java.util.Arrays.copyOf(bytes, bytes.length - 1);
        assertThatThrownBy(() -> MessageCodec.decode(cut)).isInstanceOf(IllegalArgumentException.class);
        bytes[bytes.length - 2 * fact.size()] = 80; // the kind after the last
        assertThatThrownBy(() -> MessageCodec.decode(bytes)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new MemberAttribute("m", 0, 0, 0, 0, 0, new byte[33]))
                .hasMessageContaining("32 bytes at most");
    }
}
