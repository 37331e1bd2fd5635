package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the membership protocol in whole fleets on a virtual clock; random seeds are in the calls. */
class MembershipTest {
    private static final double SECOND = 1_000;

    private static VirtualFleet joinedFleet(long seed, int members) {
        VirtualFleet fleet = new VirtualFleet(seed, members);
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("join (ms)").isNotNegative();
        fleet.run(5 * SECOND);
        assertThat(fleet.deaths).isEmpty();
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 10, 50, 200})
    void membersFindEachOtherThroughSeeds(int members) {
        joinedFleet(1, members);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.3})
    void killedMemberIsReportedDeadByAllAndNoOther(double loss) {
        VirtualFleet fleet = joinedFleet(2, 50);
        fleet.lossProbability = loss;
        fleet.kill(7);
        assertThat(fleet.runUntil(40 * SECOND, () -> fleet.allReport("m7", MemberStatus.DEAD)))
                .as("time (ms)")
                .isBetween(0.0, 40 * SECOND);
        fleet.run(60 * SECOND);
        assertThat(fleet.deaths).containsOnly("m7");
    }

    @Test
    void lossDuplicationAndReorderingCauseNoFalseDeathInTenMinutes() {
        VirtualFleet fleet = joinedFleet(3, 30);
        fleet.lossProbability = 0.3;
        fleet.duplicationProbability = 0.3;
        fleet.maxDelayMillis = 40;
        fleet.run(600 * SECOND);
        assertThat(fleet.deaths).isEmpty();
    }

    @Test
    void pausedProcessDeclaresNobodyDeadAndRejoinsSoon() {
        VirtualFleet fleet = joinedFleet(4, 40);
        fleet.pause(5, 10 * SECOND);
        fleet.run(10 * SECOND);
        assertThat(fleet.node(6).member.others())
                .anyMatch(update -> update.identity().name().equals("m5") && update.status() == MemberStatus.DEAD);
        assertThat(fleet.runUntilConverged(10 * SECOND)).as("convergence (ms)").isNotNegative();
        assertThat(fleet.deaths).containsOnly("m5");
        fleet.run(20 * SECOND);
        assertThat(fleet.deaths).containsOnly("m5");
    }

    @Test
    void partitionInTwoHeals() {
        VirtualFleet fleet = joinedFleet(5, 40);
        fleet.connectivity = (from, to) -> half(from) == half(to);
        fleet.run(60 * SECOND);
        assertThat(fleet.node(0).member.presentCount()).isEqualTo(20);
        fleet.connectivity = (from, to) -> true;
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
    }

    @Test
    void partitionInThreeHeals() {
        VirtualFleet fleet = joinedFleet(14, 45);
        fleet.connectivity = (from, to) -> number(from) % 3 == number(to) % 3;
        fleet.run(60 * SECOND);
        assertThat(fleet.node(0).member.presentCount()).isEqualTo(15);
        fleet.connectivity = (from, to) -> true;
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
    }

    /** A flapping link between two members causes no death; if all links of one flap, only it may be reported dead. */
    @Test
    void flappingLinksCauseNoFalseDeathOfOthers() {
        VirtualFleet fleet = joinedFleet(15, 40);
        fleet.connectivity = (from, to) -> !isLink(from, to, "m3", "m9") || (long) (fleet.nowMillis / SECOND) % 2 == 0;
        fleet.run(60 * SECOND);
        assertThat(fleet.deaths).isEmpty();
        fleet.connectivity =
                (from, to) -> (!from.equals("m9") && !to.equals("m9")) || (long) (fleet.nowMillis / SECOND) % 2 == 0;
        fleet.run(60 * SECOND);
        assertThat(fleet.deaths.stream().filter(name -> !name.equals("m9"))).isEmpty();
        fleet.connectivity = (from, to) -> true;
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
    }

    @Test
    void fleetRestartedWithinSecondConverges() {
        VirtualFleet fleet = joinedFleet(16, 200);
        for (int i = 0; i < 200; i++) {
            fleet.kill(i);
            fleet.run(5);
            fleet.start(i);
        }
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
        assertThat(fleet.deaths).isEmpty();
    }

    @Test
    void rollingRestartCausesNoFalseDeath() {
        VirtualFleet fleet = joinedFleet(17, 60);
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int i = tenth; i < 60; i += 10) {
                fleet.kill(i);
            }
            fleet.run(3 * SECOND);
            for (int i = tenth; i < 60; i += 10) {
                fleet.start(i);
            }
            fleet.run(2 * SECOND);
        }
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
        assertThat(fleet.deaths).isEmpty();
    }

    /**
     * The observer m9 exchanges datagrams only with the suspect m4, so that no other member's gossip brings it the
     * refutation: it has to ping m4 in time, or it declares m4 dead.
     */
    @ParameterizedTest
    @ValueSource(longs = {20, 23})
    void suspectWhoseRefutationIsLostIsPingedBeforeTimeout(long seed) {
        VirtualFleet fleet = joinedFleet(seed, 200);
        VirtualFleet.Node observer = fleet.node(9);
        fleet.connectivity =
                (from, to) -> (!from.equals("m9") && !to.equals("m9")) || from.equals("m4") || to.equals("m4");
        MemberUpdate m4 = fleet.node(4).member.self();
        MemberUpdate suspect =
                new MemberUpdate(m4.identity(), m4.incarnation(), MemberStatus.SUSPECT, MemberUpdate.reporterId("m5"));
        observer.member.onMessage(
                fleet.nowMillis,
                fleet.node(5).address,
                new Message(Message.Kind.GOSSIP, 0, 0, fleet.node(5).member.self(), "", null, List.of(suspect)));
        assertThat(observer.member.others()).contains(suspect);
        fleet.run(40 * SECOND);
        assertThat(observer.events.stream()
                        .filter(event -> event.update().status() == MemberStatus.DEAD)
                        .map(membershipEvent ->
                                membershipEvent.update().identity().name()))
                .doesNotContain("m4");
        assertThat(fleet.node(4).member.self().incarnation().counter()).isPositive();
    }

    private static boolean isLink(String from, String to, String one, String other) {
        return (from.equals(one) && to.equals(other)) || (from.equals(other) && to.equals(one));
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static int half(String name) {
        return Integer.parseInt(name.substring(1)) % 2;
    }

    /** A member whose datagrams are lost is reported dead; one that receives none must not cause deaths of others. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneWayPartitionCausesNoFalseDeathOfOthers(boolean isSenderCut) {
        VirtualFleet fleet = joinedFleet(6, 40);
        fleet.connectivity = (from, to) -> !(isSenderCut ? from : to).equals("m9");
        fleet.run(60 * SECOND);
        for (int i = 0; i < 40; i++) {
            if (i != 9) {
                assertThat(fleet.node(i).member.presentCount())
                        .as("members present at m%d", i)
                        .isGreaterThanOrEqualTo(39);
            }
        }
        fleet.connectivity = (from, to) -> true;
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
    }

    @Test
    void massFailureIsDetectedAndSurvivorsConverge() {
        VirtualFleet fleet = joinedFleet(7, 100);
        for (int i = 0; i < 70; i++) {
            fleet.kill(i);
        }
        assertThat(fleet.runUntilConverged(120 * SECOND)).as("convergence (ms)").isNotNegative();
        assertThat(fleet.deaths).doesNotContain("m70", "m85", "m99");
    }

    @Test
    void restartedMemberIsAcceptedAndOutdatedUpdatesAreIgnored() {
        VirtualFleet fleet = joinedFleet(8, 20);
        MemberUpdate old = fleet.node(4).member.self();
        fleet.kill(4);
        fleet.run(1 * SECOND);
        fleet.start(4);
        assertThat(fleet.runUntilConverged(10 * SECOND)).as("convergence (ms)").isNotNegative();
        fleet.run(30 * SECOND);
        MemberUpdate current = fleet.node(4).member.self();
        assertThat(current.incarnation().startedAtMillis())
                .isGreaterThan(old.incarnation().startedAtMillis());
        Membership other = fleet.node(5).member;
        for (MemberStatus status : MemberStatus.values()) {
            MemberUpdate outdated = new MemberUpdate(old.identity(), old.incarnation(), status, old.reporterId());
            other.onMessage(
                    fleet.nowMillis,
                    fleet.node(6).address,
                    new Message(Message.Kind.GOSSIP, 0, 0, fleet.node(6).member.self(), "", null, List.of(outdated)));
        }
        assertThat(other.others()).contains(current);
    }

    @Test
    void memberRestartedWithClockSetBackRejoins() {
        VirtualFleet fleet = joinedFleet(12, 10);
        fleet.kill(4);
        fleet.run(1 * SECOND);
        fleet.clockOffsetMillis -= 600_000;
        fleet.start(4);
        fleet.clockOffsetMillis += 600_000;
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("convergence (ms)").isNotNegative();
    }

    @Test
    void leavingMemberIsNeverSuspected() {
        VirtualFleet fleet = joinedFleet(9, 20);
        fleet.node(3).member.leave(fleet.nowMillis);
        fleet.kill(3);
        assertThat(fleet.runUntilConverged(5 * SECOND)).as("convergence (ms)").isNotNegative();
        assertThat(fleet.deaths).isEmpty();
    }

    @Test
    void forgedUpdatesAreRefutedOrIgnored() {
        VirtualFleet fleet = joinedFleet(10, 20);
        VirtualFleet.Node forger = fleet.node(0);
        VirtualFleet.Node victim = fleet.node(1);
        for (int round = 0; round < 50; round++) {
            for (VirtualFleet.Node node : fleet.nodes.values()) {
                MemberUpdate dead = new MemberUpdate(
                        victim.member.self().identity(), victim.member.self().incarnation(), MemberStatus.DEAD, 1);
                MemberUpdate lastIncarnation = new MemberUpdate(
                        dead.identity(),
                        new Incarnation(dead.incarnation().startedAtMillis(), Incarnation.MAX_COUNTER),
                        MemberStatus.DEAD,
                        1);
                MemberUpdate future = new MemberUpdate(
                        dead.identity(), new Incarnation(Incarnation.MAX_STARTED_AT_MILLIS, 0), MemberStatus.DEAD, 1);
                if (node != forger) {
                    node.member.onMessage(
                            fleet.nowMillis - node.startedAtMillis,
                            forger.address,
                            new Message(
                                    Message.Kind.GOSSIP,
                                    0,
                                    0,
                                    forger.member.self(),
                                    "",
                                    null,
                                    List.of(dead, lastIncarnation, future)));
                    // Sent in the name of another member, but from the forger's own address.
                    node.member.onMessage(
                            fleet.nowMillis - node.startedAtMillis,
                            forger.address,
                            new Message(
                                    Message.Kind.GOSSIP,
                                    0,
                                    0,
                                    new MemberUpdate(
                                            fleet.node(2).member.self().identity(),
                                            new Incarnation(
                                                    fleet.node(2)
                                                            .member
                                                            .self()
                                                            .incarnation()
                                                            .startedAtMillis(),
                                                    9),
                                            MemberStatus.LEFT,
                                            1),
                                    "",
                                    null,
                                    List.of()));
                }
            }
            fleet.run(100);
        }
        assertThat(fleet.runUntilConverged(15 * SECOND)).as("convergence (ms)").isNotNegative();
        assertThat(victim.member.self().incarnation().counter()).isBetween(1, 200);
        assertThat(fleet.node(2).member.self().incarnation().counter()).isZero();
    }

    /** The successor has another address, so no member sends to the old process until that process itself sends. */
    @Test
    void memberReplacedDuringPauseStopsSendingAfterIt() {
        VirtualFleet fleet = joinedFleet(13, 20);
        VirtualFleet.Node old = fleet.node(4);
        fleet.pause(4, 20 * SECOND);
        fleet.run(10 * SECOND);
        VirtualFleet.Node successor = fleet.startAtAddress(4, 90);
        fleet.run(10 * SECOND);
        assertThat(fleet.runUntil(10 * SECOND, old.member::hasLeft))
                .as("time (ms)")
                .isNotNegative();
        assertThat(successor.member.hasLeft()).isFalse();
        fleet.run(10 * SECOND);
        assertThat(fleet.node(6).member.others()).contains(successor.member.self());
    }

    @Test
    void laterProcessOfSameNameStopsEarlierOne() {
        VirtualFleet fleet = joinedFleet(11, 10);
        Membership old = fleet.node(2).member;
        MemberIdentity moved = new MemberIdentity("m2", new MemberAddress(0x7F00FF01, 4_000), 0, 0);
        MemberUpdate later = new MemberUpdate(
                moved, new Incarnation(old.self().incarnation().startedAtMillis() + 20_000, 0), MemberStatus.ALIVE, 1);
        old.onMessage(
                fleet.nowMillis, moved.address(), new Message(Message.Kind.PING, 1, 0, later, "", null, List.of()));
        assertThat(old.hasLeft()).isTrue();
    }
}
