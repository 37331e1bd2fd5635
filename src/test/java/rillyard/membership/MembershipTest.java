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
        VirtualFleet f = new VirtualFleet(seed, members);
        assertThat(f.untilAgreed(30 * S)).as("joined").isNotNegative();
        f.run(5 * S);
        assertThat(f.deaths).isEmpty();
        return f;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 10, 50, 200})
    void allFindEachOtherByThreeSeeds(int members) {
        joined(1, members);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.3})
    void aKilledMemberIsHeldDeadByAllAndNobodyElseIs(double loss) {
        VirtualFleet f = joined(2, 50);
        f.loss = loss;
        f.kill(7);
        assertThat(f.until(40 * S, () -> f.allHold("m7", MemberStatus.DEAD)))
                .as("time (ms)")
                .isBetween(0.0, 40 * S);
        f.run(60 * S);
        assertThat(f.deaths).containsOnly("m7");
    }

    @Test
    void lossDoublesAndDisorderKillNobodyInTenMinutes() {
        VirtualFleet f = joined(3, 30);
        f.loss = 0.3;
        f.doubled = 0.3;
        f.delay = 40;
        f.run(600 * S);
        assertThat(f.deaths).isEmpty();
    }

    @Test
    void oneThatStoodStillHasNobodyDeclaredDeadAndIsBackSoon() {
        VirtualFleet f = joined(4, 40);
        f.stop(5, 10 * S);
        f.run(10 * S);
        assertThat(f.node(6).member.others())
                .anyMatch(u -> u.card().name().equals("m5") && u.status() == MemberStatus.DEAD);
        assertThat(f.untilAgreed(10 * S)).as("agreed").isNotNegative();
        assertThat(f.deaths).containsOnly("m5");
        f.run(20 * S);
        assertThat(f.deaths).containsOnly("m5");
    }

    @Test
    void halvesThatWereCutApartAreOneAgain() {
        VirtualFleet f = joined(5, 40);
        f.links = (a, b) -> half(a) == half(b);
        f.run(60 * S);
        assertThat(f.node(0).member.present()).isEqualTo(20);
        f.links = (a, b) -> true;
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void partsThatWereCutInThreeAreOneAgain() {
        VirtualFleet f = joined(14, 45);
        f.links = (a, b) -> number(a) % 3 == number(b) % 3;
        f.run(60 * S);
        assertThat(f.node(0).member.present()).isEqualTo(15);
        f.links = (a, b) -> true;
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    /** Between two members that costs nobody its life; all links of one may cost its own, and it is back. */
    @Test
    void linksThatFlapEverySecondForAMinuteTakeNobodyElse() {
        VirtualFleet f = joined(15, 40);
        f.links = (a, b) ->
                !(a.equals("m3") && b.equals("m9") || a.equals("m9") && b.equals("m3")) || (long) (f.now / S) % 2 == 0;
        f.run(60 * S);
        assertThat(f.deaths).isEmpty();
        f.links = (a, b) -> !a.equals("m9") && !b.equals("m9") || (long) (f.now / S) % 2 == 0;
        f.run(60 * S);
        assertThat(f.deaths.stream().filter(d -> !d.equals("m9"))).isEmpty();
        f.links = (a, b) -> true;
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void twoHundredRestartedWithinASecondAreOneFleetAgain() {
        VirtualFleet f = joined(16, 200);
        for (int i = 0; i < 200; i++) {
            f.kill(i);
            f.run(5);
            f.start(i);
        }
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
        assertThat(f.deaths).isEmpty();
    }

    @Test
    void aRollingRestartATenthAtATimeCostsNobodyElseItsLife() {
        VirtualFleet f = joined(17, 60);
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int i = tenth; i < 60; i += 10) {
                f.kill(i);
            }
            f.run(3 * S);
            for (int i = tenth; i < 60; i += 10) {
                f.start(i);
            }
            f.run(2 * S);
        }
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
        assertThat(f.deaths).isEmpty();
    }

    /** The word that it lives passes one by, who alone can ask it; the others' words don't come to that one. */
    @ParameterizedTest
    @ValueSource(longs = {20, 23})
    void aSuspectWhoseWordDoesNotComeRoundIsAskedBeforeItsTimeIsUp(long seed) {
        VirtualFleet f = joined(seed, 200);
        VirtualFleet.Node one = f.node(9);
        f.links = (a, b) -> !a.equals("m9") && !b.equals("m9") || a.equals("m4") || b.equals("m4");
        MemberUpdate m4 = f.node(4).member.self();
        MemberUpdate suspect = new MemberUpdate(m4.card(), m4.life(), MemberStatus.SUSPECT, MemberUpdate.by("m5"));
        one.member.received(
                f.now,
                f.node(5).at,
                new Message(Message.Kind.NEWS, 0, 0, f.node(5).member.self(), "", null, List.of(suspect)));
        assertThat(one.member.others()).contains(suspect);
        f.run(40 * S);
        assertThat(one.changes.stream()
                        .filter(c -> c.now().status() == MemberStatus.DEAD)
                        .map(c -> c.now().card().name()))
                .doesNotContain("m4");
        assertThat(f.node(4).member.self().life().incarnation()).isPositive();
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
        VirtualFleet f = joined(6, 40);
        f.links = (a, b) -> !(heardByNone ? a : b).equals("m9");
        f.run(60 * S);
        for (int i = 0; i < 40; i++) {
            if (i != 9) {
                assertThat(f.node(i).member.present())
                        .as("members that m%d holds", i)
                        .isGreaterThanOrEqualTo(39);
            }
        }
        f.links = (a, b) -> true;
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void seventyOfAHundredKilledAtOnceAreHeldDeadAndTheRestLives() {
        VirtualFleet f = joined(7, 100);
        for (int i = 0; i < 70; i++) {
            f.kill(i);
        }
        assertThat(f.untilAgreed(120 * S)).as("agreed").isNotNegative();
        assertThat(f.deaths).doesNotContain("m70", "m85", "m99");
    }

    @Test
    void aNewLifeUnderTheOldNameAndAddressIsHeldAtOnceAndAnOldWordChangesNothing() {
        VirtualFleet f = joined(8, 20);
        MemberUpdate old = f.node(4).member.self();
        f.kill(4);
        f.run(1 * S);
        f.start(4);
        assertThat(f.untilAgreed(10 * S)).as("agreed").isNotNegative();
        f.run(30 * S);
        MemberUpdate now = f.node(4).member.self();
        assertThat(now.life().start()).isGreaterThan(old.life().start());
        Membership other = f.node(5).member;
        for (MemberStatus s : MemberStatus.values()) {
            MemberUpdate late = new MemberUpdate(old.card(), old.life(), s, old.by());
            other.received(
                    f.now,
                    f.node(6).at,
                    new Message(Message.Kind.NEWS, 0, 0, f.node(6).member.self(), "", null, List.of(late)));
        }
        assertThat(other.others()).contains(now);
    }

    @Test
    void aProcessWhoseClockWasSetBackBetweenItsLivesIsBackAllTheSame() {
        VirtualFleet f = joined(12, 10);
        f.kill(4);
        f.run(1 * S);
        f.clock -= 600_000;
        f.start(4);
        f.clock += 600_000;
        assertThat(f.untilAgreed(30 * S)).as("agreed").isNotNegative();
    }

    @Test
    void oneThatLeavesIsGoneWithoutBeingSuspected() {
        VirtualFleet f = joined(9, 20);
        f.node(3).member.leave(f.now);
        f.kill(3);
        assertThat(f.untilAgreed(5 * S)).as("agreed").isNotNegative();
        assertThat(f.deaths).isEmpty();
    }

    @Test
    void aLiarCanNeitherKillForLongNorSpeakForOthersNorUseUpTheIncarnations() {
        VirtualFleet f = joined(10, 20);
        VirtualFleet.Node liar = f.node(0);
        VirtualFleet.Node victim = f.node(1);
        for (int round = 0; round < 50; round++) {
            for (VirtualFleet.Node n : f.nodes.values()) {
                MemberUpdate dead = new MemberUpdate(
                        victim.member.self().card(), victim.member.self().life(), MemberStatus.DEAD, 1);
                MemberUpdate end = new MemberUpdate(
                        dead.card(),
                        new Incarnation(dead.life().start(), Incarnation.MAX_INCARNATION),
                        MemberStatus.DEAD,
                        1);
                MemberUpdate future =
                        new MemberUpdate(dead.card(), new Incarnation(Incarnation.MAX_START, 0), MemberStatus.DEAD, 1);
                if (n != liar) {
                    n.member.received(
                            f.now - n.startedAt,
                            liar.at,
                            new Message(
                                    Message.Kind.NEWS, 0, 0, liar.member.self(), "", null, List.of(dead, end, future)));
                    // In the name of another, from the liar's own place.
                    n.member.received(
                            f.now - n.startedAt,
                            liar.at,
                            new Message(
                                    Message.Kind.NEWS,
                                    0,
                                    0,
                                    new MemberUpdate(
                                            f.node(2).member.self().card(),
                                            new Incarnation(
                                                    f.node(2)
                                                            .member
                                                            .self()
                                                            .life()
                                                            .start(),
                                                    9),
                                            MemberStatus.LEFT,
                                            1),
                                    "",
                                    null,
                                    List.of()));
                }
            }
            f.run(100);
        }
        assertThat(f.untilAgreed(15 * S)).as("agreed").isNotNegative();
        assertThat(victim.member.self().life().incarnation()).isBetween(1, 200);
        assertThat(f.node(2).member.self().life().incarnation()).isZero();
    }

    /** Its successor has another address: nobody writes to the old one any more, until it writes itself. */
    @Test
    void oneThatWasReplacedWhileItStoodStillFallsSilentSoonAfterItWakes() {
        VirtualFleet f = joined(13, 20);
        VirtualFleet.Node old = f.node(4);
        f.stop(4, 20 * S);
        f.run(10 * S);
        VirtualFleet.Node successor = f.startElsewhere(4, 90);
        f.run(10 * S);
        assertThat(f.until(10 * S, old.member::over)).as("time (ms)").isNotNegative();
        assertThat(successor.member.over()).isFalse();
        f.run(10 * S);
        assertThat(f.node(6).member.others()).contains(successor.member.self());
    }

    @Test
    void aLaterProcessOfTheSameNameSilencesTheOldOneThatWakes() {
        VirtualFleet f = joined(11, 10);
        Membership old = f.node(2).member;
        MemberIdentity moved = new MemberIdentity("m2", new MemberAddress(0x7F00FF01, 4_000), 0, 0);
        MemberUpdate later =
                new MemberUpdate(moved, new Incarnation(old.self().life().start() + 20_000, 0), MemberStatus.ALIVE, 1);
        old.received(f.now, moved.at(), new Message(Message.Kind.PING, 1, 0, later, "", null, List.of()));
        assertThat(old.over()).isTrue();
    }
}
