package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.membership.Message.Kind;
import rillyard.modelcheck.ModelChecker;

/** Every order of messages, losses, doubles, restarts and time, over the very classes; -Drillyard.check.depth for more. */
class MembershipModelTest {
    private static final int DEPTH = Integer.getInteger("rillyard.modelcheck.depth", 7);
    private static final int STATES = Integer.getInteger("rillyard.modelcheck.states", 40_000);
    private static final int FAIR_EVERY = 100;

    @Test
    void noOrderOfThingsBreaksWhatMembersMayRelyOn() {
        ModelChecker.Result<String> result = new ModelChecker<>(new MembershipModel()).check(DEPTH, STATES, FAIR_EVERY);
        System.out.println("membership model: " + result);
        assertThat(result.violation()).as(result.toString()).isNull();
        assertThat(result.states()).isGreaterThan(20_000);
    }

    /** Planted: members that make their word about another count for more than its own; m0 is cut off. */
    @Test
    void oneWhoSpeaksForAnothersIncarnationIsFoundByTheShortestHistory() {
        MembershipModel planted = new MembershipModel(
                message -> new Message(
                        message.kind(),
                        message.sequence(),
                        message.digest(),
                        message.sender(),
                        message.target(),
                        message.targetAt(),
                        message.updates().stream()
                                .map(update -> update.status() == MemberStatus.SUSPECT
                                        ? new MemberUpdate(
                                                update.identity(),
                                                update.incarnation().next(),
                                                update.status(),
                                                update.by())
                                        : update)
                                .toList()),
                (from, m) -> !from.equals("m0") && !m.target().equals("m0"));
        ModelChecker.Result<String> result = new ModelChecker<>(planted).check(8, STATES, 0);
        assertThat(result.violation())
                .as(result.toString())
                .startsWith("somebody has spoken for another's incarnation");
        assertThat(result.history()).hasSizeLessThanOrEqualTo(8).contains("time");
    }

    /** Planted: m1 and m2 never ask m0 again, and its own questions get lost. */
    @Test
    void oneWhoStaysDeadAlthoughItLivesIsFound() {
        MembershipModel planted = new MembershipModel(
                message -> message,
                (from, m) -> !(m.kind() == Kind.PING && m.target().equals("m0")) && !from.equals("m0"));
        ModelChecker.Result<String> result = new ModelChecker<>(planted).check(2, STATES, 1);
        assertThat(result.violation()).as(result.toString()).startsWith("a live process that is heard stays DEAD");
        assertThat(result.history()).hasSize(1);
    }

    @Test
    void theWalkIsAlikeEachTime() {
        ModelChecker.Result<String> one = new ModelChecker<>(new MembershipModel()).check(3, STATES, 0);
        ModelChecker.Result<String> two = new ModelChecker<>(new MembershipModel()).check(3, STATES, 0);
        assertThat(one).isEqualTo(two);
        assertThat(one.complete()).isTrue();
        assertThat(List.of(one.depth())).containsExactly(3);
    }
}
