package rillyard.trial;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.input.InvalidFileException;
import rillyard.trial.Beliefs.Belief;

class TrialPartsTest {
    private static final TrialMember A = TrialMember.of(0, 2, 1);
    private static final TrialMember B = TrialMember.of(1, 2, 1);

    private static Fault fault(Fault.Kind kind, String on, String to, boolean oneWay, double share) {
        return new Fault(0, kind, new Group(on), new Group(to), HostGroup.NONE, oneWay, 1_000, share, 40);
    }

    @Test
    void aCutOneWayLeavesTheOther() {
        LinkFaults f = new LinkFaults(1);
        Fault cut = fault(Fault.Kind.LOSE, "m0", "zone:1", true, 1);
        f.begin(cut);
        assertThat(f.copies(A, B)).isEmpty();
        assertThat(f.copies(B, A)).hasSize(1);
        f.end(cut);
        assertThat(f.copies(A, B)).containsExactly(0);
    }

    @Test
    void copiesAndTimesAreDrawnFromTheSeed() {
        LinkFaults f = new LinkFaults(3);
        f.begin(fault(Fault.Kind.DOUBLE, "all", "all", false, 1));
        f.begin(fault(Fault.Kind.DELAY, "all", "all", false, 0));
        double[] once = f.copies(A, B);
        assertThat(once).hasSize(2);
        assertThat(once[0]).isNotEqualTo(once[1]).isBetween(0.0, 40.0);
        LinkFaults again = new LinkFaults(3);
        again.begin(fault(Fault.Kind.DOUBLE, "all", "all", false, 1));
        again.begin(fault(Fault.Kind.DELAY, "all", "all", false, 0));
        assertThat(again.copies(A, B)).containsExactly(once);
    }

    @Test
    void groupsAreReadOrTurnedAwayWithWhatWasExpected() {
        assertThat(new Group("m3, m10-m12").has(TrialMember.of(11, 1, 1))).isTrue();
        assertThat(new Group("m3, m10-m12").has(TrialMember.of(4, 1, 1))).isFalse();
        assertThatThrownBy(() -> new Group("zone 1"))
                .hasMessageContaining("expected all, zone:1, region:0, m3 or m10-m19");
        assertThatThrownBy(() -> TrialPlanReader.parse(
                        "p", "processes = 1\n[[fault]]\nkind = \"kil\"\non = \"x\"\n", Path.of("")))
                .isInstanceOf(InvalidFileException.class)
                .hasMessageContaining("p:1")
                .hasMessageContaining("did you mean 'kill'")
                .hasMessageContaining("p:4");
    }

    @Test
    void aLoadThatHostsDoNotServeIsTurnedAway(@TempDir Path folder) throws Exception {
        Files.writeString(folder.resolve("load.toml"), "[[class]]\nname = \"list\"\n[[shape]]\nrate = 5\n");
        assertThatThrownBy(() -> TrialPlanReader.parse("p", "processes = 3\nload = \"load.toml\"\n", folder))
                .isInstanceOf(InvalidFileException.class)
                .hasMessageContaining("p:2")
                .hasMessageContaining("'list', AT_MOST_ONCE")
                .hasMessageContaining("list=IDEMPOTENT");
    }

    @Test
    void aNemesisIsDrawnFromItsSeedAndLeavesAQuietEnd() throws Exception {
        TrialPlan plan = TrialPlanReader.parse("p", "processes = 12\nzones = 3\nfor_s = 200\n", Path.of(""));
        List<Fault> drawn = Nemesis.draw(plan, Set.of(Nemesis.Kind.values()), 5);
        assertThat(drawn).hasSizeGreaterThan(15).allSatisfy(f -> assertThat(f.at() + f.lasts())
                .isLessThan(0.66 * 200_000));
        assertThat(drawn.stream().map(Fault::place).distinct()).hasSize(3);
        assertThat(drawn.stream().filter(f -> f.kind() == Fault.Kind.KILL)).hasSizeLessThanOrEqualTo(3);
        assertThat(Nemesis.draw(plan, Set.of(Nemesis.Kind.values()), 5)).hasToString(drawn.toString());
        assertThat(Nemesis.draw(plan, Set.of(Nemesis.Kind.values()), 6)).doesNotHaveToString(drawn.toString());
    }

    @Test
    void roomIsToldBeforeAnythingStarts() {
        assertThatThrownBy(() -> Room.check(1_000_000, 4)).hasMessageContaining("MB are free");
        assertThatThrownBy(() -> Room.check(4, 100_000_000))
                .hasMessageContaining("descriptors")
                .hasMessageContaining("ulimit -n");
    }

    @Test
    void agreementIsSinceTheLastOfThemCameToIt() {
        Beliefs b = new Beliefs(List.of(
                new Belief(1, "a", "a", "ALIVE"),
                new Belief(2, "a", "b", "ALIVE"),
                new Belief(3, "b", "b", "ALIVE"),
                new Belief(9, "b", "a", "ALIVE"),
                new Belief(5, "a", "c", "ALIVE"),
                new Belief(12, "a", "c", "DEAD")));
        assertThat(b.agreedSince(Set.of("a", "b"))).isEqualTo(12);
        assertThat(b.agreedSince(Set.of("a", "b", "c"))).isEqualTo(-1);
        assertThat(b.heldGone("c", 0, Set.of("a", "b"))).containsExactly(java.util.Map.entry("a", 12L));
        assertThat(b.present(10).get("a")).containsExactlyInAnyOrder("a", "b", "c");
    }

    @Test
    void aLineThatAKilledProcessDidNotEndIsLeftOutAndOneThatIsNoneIsNamed(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("h");
        Files.writeString(file, "{\"at\":1,\"member\":\"a\",\"about\":\"b\",\"status\":\"DEAD\"}\n{\"at\":2,\"mem");
        assertThat(Beliefs.read(List.of(file, folder.resolve("none"))).all()).hasSize(1);
        Files.writeString(file, "{\"at\":1}\n");
        assertThatThrownBy(() -> Beliefs.read(List.of(file))).hasMessageContaining("h:1: expected at, member");
    }
}
