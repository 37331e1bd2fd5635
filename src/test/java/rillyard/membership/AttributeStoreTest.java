package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests attributes in whole fleets on a virtual clock; random seeds are in the calls. */
class AttributeStoreTest {
    private static final double SECOND = 1_000;
    private static final int KIND = 3;

    private static VirtualFleet joinedFleet(long seed, int members) {
        VirtualFleet fleet = new VirtualFleet(seed, members);
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("join (ms)").isNotNegative();
        return fleet;
    }

    private static void publish(VirtualFleet fleet, int i, int value, double ttlMillis) {
        byte[] bytes = value < 0 ? new byte[0] : new byte[] {(byte) value};
        fleet.node(i)
                .member
                .setAttribute(fleet.nowMillis - fleet.node(i).startedAtMillis, KIND, bytes, ttlMillis, true);
    }

    /** Returns the value of member {@code i}'s attribute at member {@code holder}, or -1 if it has none. */
    private static int valueAt(VirtualFleet fleet, int holder, int i) {
        Map<String, MemberAttribute> attributes =
                fleet.node(holder).member.attributes(fleet.nowMillis - fleet.node(holder).startedAtMillis, KIND);
        MemberAttribute attribute = attributes.get("m" + i);
        return attribute == null ? -1 : attribute.value()[0];
    }

    private static boolean allHaveValue(VirtualFleet fleet, int i, int value) {
        return fleet.nodes.values().stream()
                .filter(node -> !node.isKilled && !node.name.equals("m" + i))
                .allMatch(node -> valueAt(fleet, Integer.parseInt(node.name.substring(1)), i) == value);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3})
    void attributeAndItsChangesReachAllWithinSeconds(double loss) {
        VirtualFleet fleet = joinedFleet(1, 50);
        fleet.lossProbability = loss;
        fleet.duplicationProbability = loss;
        fleet.maxDelayMillis = 40;
        publish(fleet, 4, 1, 60 * SECOND);
        assertThat(fleet.runUntil(10 * SECOND, () -> allHaveValue(fleet, 4, 1)))
                .as("time (ms)")
                .isBetween(0.0, 10 * SECOND);
        publish(fleet, 4, 2, 60 * SECOND);
        assertThat(fleet.runUntil(10 * SECOND, () -> allHaveValue(fleet, 4, 2)))
                .as("time (ms)")
                .isBetween(0.0, 10 * SECOND);
        publish(fleet, 4, -1, 60 * SECOND);
        assertThat(fleet.runUntil(10 * SECOND, () -> allHaveValue(fleet, 4, -1)))
                .as("time (ms)")
                .isBetween(0.0, 10 * SECOND);
        fleet.run(100 * SECOND);
        assertThat(allHaveValue(fleet, 4, -1)).isTrue();
    }

    @Test
    void attributeWithoutRenewalExpiresAndItsAgeNeverDecreases() {
        VirtualFleet fleet = joinedFleet(9, 20);
        fleet.node(4)
                .member
                .setAttribute(fleet.nowMillis - fleet.node(4).startedAtMillis, KIND, new byte[] {1}, 9 * SECOND, false);
        assertThat(fleet.runUntil(5 * SECOND, () -> allHaveValue(fleet, 4, 1)))
                .as("time (ms)")
                .isBetween(0.0, 5 * SECOND);
        fleet.run(4 * SECOND); // past a third of its time to live, at which it would be renewed
        MemberAttribute received = fleet.node(7)
                .member
                .attributes(fleet.nowMillis - fleet.node(7).startedAtMillis, KIND)
                .get("m4");
        assertThat(received.ageMillis()).isGreaterThan(4 * SECOND);
        assertThat(received.version()).isZero();
        assertThat(fleet.runUntil(10 * SECOND, () -> allHaveValue(fleet, 4, -1)))
                .as("time (ms)")
                .isBetween(0.0, 6 * SECOND);
        publish(fleet, 4, 2, 9 * SECOND);
        fleet.run(30 * SECOND);
        assertThat(allHaveValue(fleet, 4, 2)).as("renewed as requested").isTrue();
    }

    @Test
    void attributeExpiresWithoutRenewalAndStaysWithIt() {
        VirtualFleet fleet = joinedFleet(2, 20);
        publish(fleet, 4, 1, 12 * SECOND);
        fleet.run(120 * SECOND);
        assertThat(allHaveValue(fleet, 4, 1)).isTrue();
        // No other member receives the owner's datagrams: its attribute expires after its time to live at the latest.
        fleet.connectivity = (from, to) -> !from.equals("m4");
        assertThat(fleet.runUntil(13 * SECOND, () -> allHaveValue(fleet, 4, -1)))
                .isNotNegative();
        assertThat(valueAt(fleet, 4, 4)).isEqualTo(1);
        fleet.connectivity = (from, to) -> true;
        assertThat(fleet.runUntil(30 * SECOND, () -> allHaveValue(fleet, 4, 1))).isNotNegative();
    }

    @Test
    void joiningMemberReceivesAttributesAndRestartedOwnerHasNone() {
        VirtualFleet fleet = joinedFleet(3, 20);
        publish(fleet, 4, 1, 30 * SECOND);
        publish(fleet, 5, 7, 30 * SECOND);
        fleet.run(5 * SECOND);
        fleet.kill(4);
        fleet.kill(9);
        fleet.run(1 * SECOND);
        fleet.start(4);
        fleet.start(9);
        assertThat(fleet.runUntil(12 * SECOND, () -> valueAt(fleet, 9, 5) == 7 && allHaveValue(fleet, 4, -1)))
                .as("time (ms)")
                .isNotNegative();
        publish(fleet, 4, 2, 30 * SECOND);
        assertThat(fleet.runUntil(10 * SECOND, () -> allHaveValue(fleet, 4, 2))).isNotNegative();
    }

    @Test
    void outdatedAndForgedAttributesAreIgnoredOrOverridden() {
        VirtualFleet fleet = joinedFleet(4, 20);
        publish(fleet, 4, 1, 30 * SECOND);
        fleet.run(5 * SECOND);
        publish(fleet, 4, 2, 30 * SECOND);
        fleet.run(5 * SECOND);
        long start = fleet.node(4).member.self().incarnation().startedAtMillis();
        for (int i = 0; i < 20; i++) {
            forge(fleet, i, new MemberAttribute("m4", start, KIND, 0, 0, 30 * SECOND, new byte[] {1
            })); // delayed by 10 s
            forge(
                    fleet,
                    i,
                    new MemberAttribute("m4", start, KIND, MemberAttribute.MAX_VERSION, 0, 30 * SECOND, new byte[] {9
                    })); // no version could follow
            forge(fleet, i, new MemberAttribute("m4", start - 1, KIND, 500, 0, 30 * SECOND, new byte[] {9}));
            forge(fleet, i, new MemberAttribute("m99", start, KIND, 0, 0, 30 * SECOND, new byte[] {9}));
        }
        assertThat(allHaveValue(fleet, 4, 2)).isTrue();
        assertThat(fleet.node(7).member.attributes(fleet.nowMillis, KIND)).containsOnlyKeys("m4");
        // A plausible version: the owner receives and overrides it.
        forge(fleet, 7, new MemberAttribute("m4", start, KIND, 900, 0, 30 * SECOND, new byte[] {9}));
        forge(
                fleet,
                7,
                new MemberAttribute(
                        "m5",
                        fleet.node(5).member.self().incarnation().startedAtMillis(),
                        KIND,
                        900,
                        0,
                        30 * SECOND,
                        new byte[] {9}));
        assertThat(fleet.runUntil(20 * SECOND, () -> allHaveValue(fleet, 4, 2) && allHaveValue(fleet, 5, -1)))
                .as("time (ms)")
                .isNotNegative();
        fleet.run(60 * SECOND);
        assertThat(allHaveValue(fleet, 4, 2) && allHaveValue(fleet, 5, -1)).isTrue();
    }

    private static void forge(VirtualFleet fleet, int i, MemberAttribute attribute) {
        VirtualFleet.Node forger = fleet.node(0);
        if (i != 0) {
            fleet.node(i)
                    .member
                    .onMessage(
                            fleet.nowMillis - fleet.node(i).startedAtMillis,
                            forger.address,
                            new Message(
                                    Message.Kind.GOSSIP,
                                    0,
                                    0,
                                    forger.member.self(),
                                    "",
                                    null,
                                    List.of(),
                                    List.of(attribute)));
        }
    }

    /** Others would reject it, so publishing fails at once and the last version stays. */
    @Test
    void attributeBeyondPublicationRateIsRejected() {
        VirtualFleet fleet = joinedFleet(6, 3);
        Membership membership = fleet.node(0).member;
        int published = 0;
        while (membership.setAttribute(
                fleet.nowMillis, KIND, new byte[] {(byte) (published % 100)}, 60 * SECOND, true)) {
            published++;
        }
        assertThat(published)
                .isBetween(37_000, 38_000); // 1,024 initially, and ten a second for the hour by which clocks may differ
        int last = (published - 1) % 100;
        assertThat(fleet.runUntil(10 * SECOND, () -> allHaveValue(fleet, 0, last)))
                .isNotNegative();
        assertThat(membership.setAttribute(fleet.nowMillis, KIND, new byte[] {1}, 60 * SECOND, true))
                .as("ten seconds later")
                .isTrue();
    }

    @Test
    void encodedAttributesAreDecodedUnchangedOrRejected() {
        MemberAttribute attribute = new MemberAttribute(
                "m4",
                1_700_000_000_000L,
                15,
                MemberAttribute.MAX_VERSION,
                1_200,
                MemberAttribute.MAX_MILLIS,
                new byte[] {1, 2, 3});
        MemberUpdate self = joinedFleet(5, 2).node(0).member.self();
        Message message =
                new Message(Message.Kind.GOSSIP, 1, 2, self, "", null, List.of(), List.of(attribute, attribute));
        byte[] bytes = MessageCodec.encode(message, MessageCodec.MAX_BYTES);
        assertThat(bytes).hasSize(MessageCodec.emptySize(self, "", false) + 2 * attribute.size());
        assertThat(MessageCodec.decode(bytes)).isEqualTo(message);
        byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
        assertThatThrownBy(() -> MessageCodec.decode(truncated)).isInstanceOf(IllegalArgumentException.class);
        bytes[bytes.length - 2 * attribute.size()] = 80; // one more than the largest kind
        assertThatThrownBy(() -> MessageCodec.decode(bytes)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new MemberAttribute("m", 0, 0, 0, 0, 0, new byte[33]))
                .hasMessageContaining("32 bytes at most");
    }
}
