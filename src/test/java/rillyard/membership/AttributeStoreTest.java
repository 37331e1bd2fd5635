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
        VirtualFleet fleet = new VirtualFleet(seed, members);
        assertThat(fleet.untilAgreed(30 * S)).as("joined").isNotNegative();
        return fleet;
    }

    private static void say(VirtualFleet fleet, int i, int value, double lasts) {
        byte[] bytes = value < 0 ? new byte[0] : new byte[] {(byte) value};
        fleet.node(i).member.setAttribute(fleet.now - fleet.node(i).startedAt, KIND, bytes, lasts, true);
    }

    /** What member {@code by} holds of member {@code i}; -1 for nothing. */
    private static int held(VirtualFleet fleet, int by, int i) {
        Map<String, MemberAttribute> facts =
                fleet.node(by).member.attributes(fleet.now - fleet.node(by).startedAt, KIND);
        MemberAttribute fact = facts.get("m" + i);
        return fact == null ? -1 : fact.value()[0];
    }

    private static boolean allHold(VirtualFleet fleet, int i, int value) {
        return fleet.nodes.values().stream()
                .filter(node -> !node.dead && !node.name.equals("m" + i))
                .allMatch(n -> held(fleet, Integer.parseInt(n.name.substring(1)), i) == value);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3})
    void aFactAndItsChangesAreHeldByAllWithinSeconds(double loss) {
        VirtualFleet fleet = joined(1, 50);
        fleet.loss = loss;
        fleet.doubled = loss;
        fleet.delay = 40;
        say(fleet, 4, 1, 60 * S);
        assertThat(fleet.until(10 * S, () -> allHold(fleet, 4, 1)))
                .as("time (ms)")
                .isBetween(0.0, 10 * S);
        say(fleet, 4, 2, 60 * S);
        assertThat(fleet.until(10 * S, () -> allHold(fleet, 4, 2)))
                .as("time (ms)")
                .isBetween(0.0, 10 * S);
        say(fleet, 4, -1, 60 * S);
        assertThat(fleet.until(10 * S, () -> allHold(fleet, 4, -1)))
                .as("time (ms)")
                .isBetween(0.0, 10 * S);
        fleet.run(100 * S);
        assertThat(allHold(fleet, 4, -1)).isTrue();
    }

    @Test
    void aFactThatIsSaidOnceEndsByItselfAndIsNeverYounger() {
        VirtualFleet fleet = joined(9, 20);
        fleet.node(4).member.setAttribute(fleet.now - fleet.node(4).startedAt, KIND, new byte[] {1}, 9 * S, false);
        assertThat(fleet.until(5 * S, () -> allHold(fleet, 4, 1)))
                .as("time (ms)")
                .isBetween(0.0, 5 * S);
        fleet.run(4 * S); // past a third of its time, at which one that is said again would be
        MemberAttribute held = fleet.node(7)
                .member
                .attributes(fleet.now - fleet.node(7).startedAt, KIND)
                .get("m4");
        assertThat(held.ageMillis()).isGreaterThan(4 * S);
        assertThat(held.version()).isZero();
        assertThat(fleet.until(10 * S, () -> allHold(fleet, 4, -1)))
                .as("time (ms)")
                .isBetween(0.0, 6 * S);
        say(fleet, 4, 2, 9 * S);
        fleet.run(30 * S);
        assertThat(allHold(fleet, 4, 2))
                .as("said again where that was asked for")
                .isTrue();
    }

    @Test
    void aFactThatIsNotSaidAgainEndsAndOneThatIsStays() {
        VirtualFleet fleet = joined(2, 20);
        say(fleet, 4, 1, 12 * S);
        fleet.run(120 * S);
        assertThat(allHold(fleet, 4, 1)).isTrue();
        // Heard by none, it is suspected and held dead: what it said is over at the latest with its time.
        fleet.links = (a, b) -> !a.equals("m4");
        assertThat(fleet.until(13 * S, () -> allHold(fleet, 4, -1))).isNotNegative();
        assertThat(held(fleet, 4, 4)).isEqualTo(1);
        fleet.links = (a, b) -> true;
        assertThat(fleet.until(30 * S, () -> allHold(fleet, 4, 1))).isNotNegative();
    }

    @Test
    void whoJoinsLaterHearsOfItAndAnotherLifeBeginsAnew() {
        VirtualFleet fleet = joined(3, 20);
        say(fleet, 4, 1, 30 * S);
        say(fleet, 5, 7, 30 * S);
        fleet.run(5 * S);
        fleet.kill(4);
        fleet.kill(9);
        fleet.run(1 * S);
        fleet.start(4);
        fleet.start(9);
        assertThat(fleet.until(12 * S, () -> held(fleet, 9, 5) == 7 && allHold(fleet, 4, -1)))
                .as("time (ms)")
                .isNotNegative();
        say(fleet, 4, 2, 30 * S);
        assertThat(fleet.until(10 * S, () -> allHold(fleet, 4, 2))).isNotNegative();
    }

    @Test
    void anOldWordAndAMadeUpOneChangeNothing() {
        VirtualFleet fleet = joined(4, 20);
        say(fleet, 4, 1, 30 * S);
        fleet.run(5 * S);
        say(fleet, 4, 2, 30 * S);
        fleet.run(5 * S);
        long start = fleet.node(4).member.self().incarnation().startedAtMillis();
        for (int i = 0; i < 20; i++) {
            tell(fleet, i, new MemberAttribute("m4", start, KIND, 0, 0, 30 * S, new byte[] {1})); // late by 10 s
            tell(fleet, i, new MemberAttribute("m4", start, KIND, MemberAttribute.MAX_VERSION, 0, 30 * S, new byte[] {9
            })); // nobody could follow
            tell(fleet, i, new MemberAttribute("m4", start - 1, KIND, 500, 0, 30 * S, new byte[] {9}));
            tell(fleet, i, new MemberAttribute("m99", start, KIND, 0, 0, 30 * S, new byte[] {9}));
        }
        assertThat(allHold(fleet, 4, 2)).isTrue();
        assertThat(fleet.node(7).member.attributes(fleet.now, KIND)).containsOnlyKeys("m4");
        // One that could be: its owner hears of it, and has the last word.
        tell(fleet, 7, new MemberAttribute("m4", start, KIND, 900, 0, 30 * S, new byte[] {9}));
        tell(
                fleet,
                7,
                new MemberAttribute(
                        "m5",
                        fleet.node(5).member.self().incarnation().startedAtMillis(),
                        KIND,
                        900,
                        0,
                        30 * S,
                        new byte[] {9}));
        assertThat(fleet.until(20 * S, () -> allHold(fleet, 4, 2) && allHold(fleet, 5, -1)))
                .as("time (ms)")
                .isNotNegative();
        fleet.run(60 * S);
        assertThat(allHold(fleet, 4, 2) && allHold(fleet, 5, -1)).isTrue();
    }

    private static void tell(VirtualFleet fleet, int i, MemberAttribute fact) {
        VirtualFleet.Node liar = fleet.node(0);
        if (i != 0) {
            fleet.node(i)
                    .member
                    .onMessage(
                            fleet.now - fleet.node(i).startedAt,
                            liar.at,
                            new Message(
                                    Message.Kind.NEWS, 0, 0, liar.member.self(), "", null, List.of(), List.of(fact)));
        }
    }

    /** Others would turn it away: so it is told at once that it is not said, and the last one stays. */
    @Test
    void whoSaysMoreThanAnybodyWouldBelieveIsToldSo() {
        VirtualFleet fleet = joined(6, 3);
        Membership membership = fleet.node(0).member;
        int said = 0;
        while (membership.setAttribute(fleet.now, KIND, new byte[] {(byte) (said % 100)}, 60 * S, true)) {
            said++;
        }
        assertThat(said)
                .isBetween(37_000, 38_000); // the first 1,024, and ten a second for the hour that clocks may differ by
        int last = (said - 1) % 100;
        assertThat(fleet.until(10 * S, () -> allHold(fleet, 0, last))).isNotNegative();
        assertThat(membership.setAttribute(fleet.now, KIND, new byte[] {1}, 60 * S, true))
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
        Message message = new Message(Message.Kind.NEWS, 1, 2, self, "", null, List.of(), List.of(fact, fact));
        byte[] bytes = MessageCodec.encode(message, MessageCodec.MAX_BYTES);
        assertThat(bytes).hasSize(MessageCodec.emptySize(self, "", false) + 2 * fact.size());
        assertThat(MessageCodec.decode(bytes)).isEqualTo(message);
        byte[] cut = java.util.Arrays.copyOf(bytes, bytes.length - 1);
        assertThatThrownBy(() -> MessageCodec.decode(cut)).isInstanceOf(IllegalArgumentException.class);
        bytes[bytes.length - 2 * fact.size()] = 80; // the kind after the last
        assertThatThrownBy(() -> MessageCodec.decode(bytes)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new MemberAttribute("m", 0, 0, 0, 0, 0, new byte[33]))
                .hasMessageContaining("32 bytes at most");
    }
}
