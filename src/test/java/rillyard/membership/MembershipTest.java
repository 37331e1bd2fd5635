package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole fleets on a virtual clock; the seeds stand in the calls. */
class MembershipTest {
    private static final double S = 1_000;

    private static VirtualFleet joined(long seed, int members) {
        VirtualFleet fleet = new VirtualFleet(seed, members);
        assertThat(fleet.untilAgreed(30 * S)).as("joined").isNotNegative();
        fleet.run(5 * S);
        assertThat(fleet.deaths).isEmpty();
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 10, 50, 200})
    void allFindEachOtherByThreeSeeds(int members) {
        joined(1, members);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.3})
    void aKilledMemberIsHeldDeadByAllAndNobodyElseIs(double loss) {
        VirtualFleet fleet = joined(2, 50);
        fleet.loss = loss;
        fleet.kill(7);
        assertThat(fleet.until(40 * S, () -> fleet.allHold("m7", MemberStatus.DEAD)))
                .as("time (ms)")
                .isBetween(0.0, 40 * S);
        fleet.run(60 * S);
        assertThat(fleet.deaths).containsOnly("m7");
    }

    @Test
    void lossDoublesAndDisorderKillNobodyInTenMinutes() {
        VirtualFleet fleet = joined(3, 30);
        fleet.loss = 0.3;
        fleet.doubled = 0.3;
        fleet.delay = 40;
        fleet.run(600 * S);
        assertThat(fleet.deaths).isEmpty();
    }

    @Test
    void oneThatStoodStillHasNobodyDeclaredDeadAndIsBackSoon() {
        VirtualFleet fleet = joined(4, 40);
        fleet.stop(5, 10 * S);
        fleet.run(10 * S);
        assertThat(fleet.node(6).member.others())
                .anyMatch(update -> update.identity().name().equals("m5") && update.status() == MemberStatus.DEAD);
        assertThat(fleet.untilAgreed(10 * S)).as("agreed").isNotNegative();
        assertThat(fleet.deaths).containsOnly("m5");
        fleet.run(20 * S);
        assertThat(fleet.deaths).containsOnly("m5");
    }

    @Test
    void halvesThatWereCutApartAreOneAgain() {
        VirtualFleet fleet = joined(5, 40);
        fleet.links = (a, b) -> half(a) == half(b);
        fleet.run(60 * S);
        assertThat(fleet.node(0).member.present()).isEqualTo(20);
        fleet.links = (a, b) -> true;
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void partsThatWereCutInThreeAreOneAgain() {
        VirtualFleet fleet = joined(14, 45);
        fleet.links = (a, b) -> number(a) % 3 == number(b) % 3;
        fleet.run(60 * S);
        assertThat(fleet.node(0).member.present()).isEqualTo(15);
        fleet.links = (a, b) -> true;
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    /** Between two members that costs nobody its life; all links of one may cost its own, and it is back. */
    @Test
    void linksThatFlapEverySecondForAMinuteTakeNobodyElse() {
        VirtualFleet fleet = joined(15, 40);
        fleet.links = (a, b) -> !(a.equals("m3") && b.equals("m9") || a.equals("m9") && b.equals("m3"))
                || (long) (fleet.now / S) % 2 == 0;
        fleet.run(60 * S);
        assertThat(fleet.deaths).isEmpty();
        fleet.links = (a, b) -> !a.equals("m9") && !b.equals("m9") || (long) (fleet.now / S) % 2 == 0;
        fleet.run(60 * S);
        assertThat(fleet.deaths.stream().filter(d -> !d.equals("m9"))).isEmpty();
        fleet.links = (a, b) -> true;
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void twoHundredRestartedWithinASecondAreOneFleetAgain() {
        VirtualFleet fleet = joined(16, 200);
        for (int i = 0; i < 200; i++) {
            fleet.kill(i);
            fleet.run(5);
            fleet.start(i);
        }
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
        assertThat(fleet.deaths).isEmpty();
    }

    @Test
    void aRollingRestartATenthAtATimeCostsNobodyElseItsLife() {
        VirtualFleet fleet = joined(17, 60);
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int i = tenth; i < 60; i += 10) {
                fleet.kill(i);
            }
            fleet.run(3 * S);
            for (int i = tenth; i < 60; i += 10) {
                fleet.start(i);
            }
            fleet.run(2 * S);
        }
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
        assertThat(fleet.deaths).isEmpty();
    }

    /** The word that it lives passes one by, who alone can ask it; the others' words don't come to that one. */
    @ParameterizedTest
    @ValueSource(longs = {20, 23})
    void aSuspectWhoseWordDoesNotComeRoundIsAskedBeforeItsTimeIsUp(long seed) {
        VirtualFleet fleet = joined(seed, 200);
        VirtualFleet.Node one = fleet.node(9);
        fleet.links = (a, b) -> !a.equals("m9") && !b.equals("m9") || a.equals("m4") || b.equals("m4");
        MemberUpdate m4 = fleet.node(4).member.self();
        MemberUpdate suspect =
                new MemberUpdate(m4.identity(), m4.incarnation(), MemberStatus.SUSPECT, MemberUpdate.by("m5"));
        one.member.onMessage(
                fleet.now,
                fleet.node(5).at,
                new Message(Message.Kind.NEWS, 0, 0, fleet.node(5).member.self(), "", null, List.of(suspect)));
        assertThat(one.member.others()).contains(suspect);
        fleet.run(40 * S);
        assertThat(one.changes.stream()
                        .filter(event -> event.now().status() == MemberStatus.DEAD)
                        .map(membershipEvent -> membershipEvent.now().identity().name()))
                .doesNotContain("m4");
        assertThat(fleet.node(4).member.self().incarnation().counter()).isPositive();
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static int half(String name) {
        return Integer.parseInt(name.substring(1)) % 2;
    }

    /** Heard by none: the fleet holds it dead. Hearing none: it may hold others dead, but takes nobody with it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneWayDeafnessCostsNobodyElseItsLife(boolean heardByNone) {
        VirtualFleet fleet = joined(6, 40);
        fleet.links = (a, b) -> !(heardByNone ? a : b).equals("m9");
        fleet.run(60 * S);
        for (int i = 0; i < 40; i++) {
            if (i != 9) {
                assertThat(fleet.node(i).member.present())
                        .as("members that m%d holds", i)
                        .isGreaterThanOrEqualTo(39);
            }
        }
        fleet.links = (a, b) -> true;
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void seventyOfAHundredKilledAtOnceAreHeldDeadAndTheRestLives() {
        VirtualFleet fleet = joined(7, 100);
        for (int i = 0; i < 70; i++) {
            fleet.kill(i);
        }
        assertThat(fleet.untilAgreed(120 * S)).as("agreed").isNotNegative();
        assertThat(fleet.deaths).doesNotContain("m70", "m85", "m99");
    }

    @Test
    void aNewLifeUnderTheOldNameAndAddressIsHeldAtOnceAndAnOldWordChangesNothing() {
        VirtualFleet fleet = joined(8, 20);
        MemberUpdate old = fleet.node(4).member.self();
        fleet.kill(4);
        fleet.run(1 * S);
        fleet.start(4);
        assertThat(fleet.untilAgreed(10 * S)).as("agreed").isNotNegative();
        fleet.run(30 * S);
        MemberUpdate now = fleet.node(4).member.self();
        assertThat(now.incarnation().startedAtMillis())
                .isGreaterThan(old.incarnation().startedAtMillis());
        Membership other = fleet.node(5).member;
        for (MemberStatus status : MemberStatus.values()) {
            MemberUpdate late = new MemberUpdate(old.identity(), old.incarnation(), status, old.by());
            other.onMessage(
                    fleet.now,
                    fleet.node(6).at,
                    new Message(Message.Kind.NEWS, 0, 0, fleet.node(6).member.self(), "", null, List.of(late)));
        }
        assertThat(other.others()).contains(now);
    }

    @Test
    void aProcessWhoseClockWasSetBackBetweenItsLivesIsBackAllTheSame() {
        VirtualFleet fleet = joined(12, 10);
        fleet.kill(4);
        fleet.run(1 * S);
        fleet.clock -= 600_000;
        fleet.start(4);
        fleet.clock += 600_000;
        assertThat(fleet.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void oneThatLeavesIsGoneWithoutBeingSuspected() {
        VirtualFleet fleet = joined(9, 20);
        fleet.node(3).member.leave(fleet.now);
        fleet.kill(3);
        assertThat(fleet.untilAgreed(5 * S)).as("agreed").isNotNegative();
        assertThat(fleet.deaths).isEmpty();
    }

    @Test
    void aLiarCanNeitherKillForLongNorSpeakForOthersNorUseUpTheIncarnations() {
        VirtualFleet fleet = joined(10, 20);
        VirtualFleet.Node liar = fleet.node(0);
        VirtualFleet.Node victim = fleet.node(1);
        for (int round = 0; round < 50; round++) {
            for (VirtualFleet.Node node : fleet.nodes.values()) {
                MemberUpdate dead = new MemberUpdate(
                        victim.member.self().identity(), victim.member.self().incarnation(), MemberStatus.DEAD, 1);
                MemberUpdate end = new MemberUpdate(
                        dead.identity(),
                        new Incarnation(dead.incarnation().startedAtMillis(), Incarnation.MAX_INCARNATION),
                        MemberStatus.DEAD,
                        1);
                MemberUpdate future = new MemberUpdate(
                        dead.identity(), new Incarnation(Incarnation.MAX_START, 0), MemberStatus.DEAD, 1);
                if (node != liar) {
                    node.member.onMessage(
                            fleet.now - node.startedAt,
                            liar.at,
                            new Message(
                                    Message.Kind.NEWS, 0, 0, liar.member.self(), "", null, List.of(dead, end, future)));
                    // In the name of another, from the liar's own place.
                    node.member.onMessage(
                            fleet.now - node.startedAt,
                            liar.at,
                            new Message(
                                    Message.Kind.NEWS,
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
        assertThat(fleet.untilAgreed(15 * S)).as("agreed").isNotNegative();
        assertThat(victim.member.self().incarnation().counter()).isBetween(1, 200);
        assertThat(fleet.node(2).member.self().incarnation().counter()).isZero();
    }

    /** Its successor has another address: nobody writes to the old one any more, until it writes itself. */
    @Test
    void oneThatWasReplacedWhileItStoodStillFallsSilentSoonAfterItWakes() {
        VirtualFleet fleet = joined(13, 20);
        VirtualFleet.Node old = fleet.node(4);
        fleet.stop(4, 20 * S);
        fleet.run(10 * S);
        VirtualFleet.Node successor = fleet.startElsewhere(4, 90);
        fleet.run(10 * S);
        assertThat(fleet.until(10 * S, old.member::hasLeft)).as("time (ms)").isNotNegative();
        assertThat(successor.member.hasLeft()).isFalse();
        fleet.run(10 * S);
        assertThat(fleet.node(6).member.others()).contains(successor.member.self());
    }

    @Test
    void aLaterProcessOfTheSameNameSilencesTheOldOneThatWakes() {
        VirtualFleet fleet = joined(11, 10);
        Membership old = fleet.node(2).member;
        MemberIdentity moved = new MemberIdentity("m2", new MemberAddress(0x7F00FF01, 4_000), 0, 0);
        MemberUpdate later = new MemberUpdate(
                moved, new Incarnation(old.self().incarnation().startedAtMillis() + 20_000, 0), MemberStatus.ALIVE, 1);
        old.onMessage(fleet.now, moved.address(), new Message(Message.Kind.PING, 1, 0, later, "", null, List.of()));
        assertThat(old.hasLeft()).isTrue();
    }
}
