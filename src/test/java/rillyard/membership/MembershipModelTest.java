package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.membership.Message.Kind;
import rillyard.modelcheck.ModelChecker;

/**
 * Explores every order of deliveries, losses, duplicates, restarts and time steps of the production classes;
 * {@code -Drillyard.check.depth} goes deeper.
 */
class MembershipModelTest {
    private static final int DEPTH = Integer.getInteger("rillyard.check.depth", 7);
    private static final int STATES = Integer.getInteger("rillyard.check.states", 40_000);
    private static final int FAIR_EVERY = 100;

    @Test
    void noScheduleViolatesInvariants() {
        ModelChecker.Result<String> result = new ModelChecker<>(new MembershipModel()).check(DEPTH, STATES, FAIR_EVERY);
        System.out.println("membership model: " + result);
        assertThat(result.violation()).as(result.toString()).isNull();
        assertThat(result.states()).isGreaterThan(20_000);
    }

    /** Injected fault: members increment the incarnation of a suspect; m0 is partitioned. */
    @Test
    void forgedIncarnationIsFoundByShortestHistory() {
        MembershipModel faulty = new MembershipModel(
                message -> new Message(
                        message.kind(),
                        message.sequence(),
                        message.digest(),
                        message.sender(),
                        message.target(),
                        message.targetAddress(),
                        message.updates().stream()
                                .map(update -> update.status() == MemberStatus.SUSPECT
                                        ? new MemberUpdate(
                                                update.identity(),
                                                update.incarnation().next(),
                                                update.status(),
                                                update.reporterId())
                                        : update)
                                .toList()),
                (from, message) -> !from.equals("m0") && !message.target().equals("m0"));
        ModelChecker.Result<String> result = new ModelChecker<>(faulty).check(8, STATES, 0);
        assertThat(result.violation())
                .as(result.toString())
                .startsWith("an incarnation that its member has not announced");
        assertThat(result.history()).hasSizeLessThanOrEqualTo(8).contains("time");
    }

    /** Injected fault: m1 and m2 never ping m0 again, and its own messages are lost. */
    @Test
    void memberThatStaysDeadAlthoughItRunsIsFound() {
        MembershipModel faulty = new MembershipModel(
                message -> message,
                (from, message) ->
                        !(message.kind() == Kind.PING && message.target().equals("m0")) && !from.equals("m0"));
        ModelChecker.Result<String> result = new ModelChecker<>(faulty).check(2, STATES, 1);
        assertThat(result.violation())
                .as(result.toString())
                .startsWith("a running member that can be reached stays DEAD");
        assertThat(result.history()).hasSize(1);
    }

    @Test
    void walkIsDeterministic() {
        ModelChecker.Result<String> first = new ModelChecker<>(new MembershipModel()).check(3, STATES, 0);
        ModelChecker.Result<String> second = new ModelChecker<>(new MembershipModel()).check(3, STATES, 0);
        assertThat(first).isEqualTo(second);
        assertThat(first.complete()).isTrue();
        assertThat(List.of(first.depth())).containsExactly(3);
    }
}
