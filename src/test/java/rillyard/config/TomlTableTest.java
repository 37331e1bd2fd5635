package rillyard.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;

class TomlTableTest {
    private enum Colour {
        RED,
        DARK_BLUE
    }

    private static TomlTable parse(String text) throws InvalidConfigException {
        return TomlTable.parse("f.toml", text);
    }

    @Test
    void readsWhatIsThereAndHasDefaultsForTheRest() throws Exception {
        TomlTable t = parse("a = 3\nb = 'x'\nc = true\nd = [1, 2.5]\ne = 'dark-blue'\n[s]\nf = 1.5\n");
        assertThat(t.whole("a", 0, 0, 10)).isEqualTo(3);
        assertThat(t.text("b", "")).isEqualTo("x");
        assertThat(t.flag("c", false)).isTrue();
        assertThat(t.numbers("d", new double[0], 0, 10)).containsExactly(1, 2.5);
        assertThat(t.choice("e", Colour.class, Colour.RED)).isEqualTo(Colour.DARK_BLUE);
        assertThat(t.table("s").number("f", 0, 0, 10)).isEqualTo(1.5);
        assertThat(t.table("none").number("g", 7, 0, 10)).isEqualTo(7);
        assertThat(t.tables("many")).isEmpty();
        t.finish();
    }

    @Test
    void tellsAllFindingsAtOnceEachWithItsLine() throws Exception {
        TomlTable t = parse(
                """
            # a comment with = and [brackets]
            count = 12
            text = \"\"\"
            [not.a.table]
            a = 1
            \"\"\"
            colour = 'reed'
            [[host]]
            id = 'a'
            [[host]]
            id = 'b'
            cores = -1
            [host.inner]
            x = 'y'
            cuont = 1
            """);
        t.whole("count", 0, 0, 10);
        t.text("text", "");
        t.choice("colour", Colour.class, Colour.RED);
        for (TomlTable h : t.tables("host")) {
            h.text("id");
            h.whole("cores", 1, 1, 64);
            TomlTable inner = h.table("inner");
            inner.whole("x", 0, 0, 9);
            inner.whole("count", 0, 0, 9);
        }
        InvalidConfigException e = catchThrowableOfType(InvalidConfigException.class, t::finish);
        assertThat(e.findings())
                .extracting(ConfigProblem::toString)
                .containsExactly(
                        "f.toml:2: count: found 12, expected a whole number from 0 to 10",
                        "f.toml:7: colour: found 'reed', expected one of red, dark-blue; did you mean 'red'?",
                        "f.toml:12: host[1].cores: found -1, expected a whole number from 1 to 64",
                        "f.toml:14: host[1].inner.x: found \"y\", expected a whole number from 0 to 9",
                        "f.toml:15: host[1].inner.cuont: unknown key; did you mean 'count'?");
    }

    @Test
    void aTextThatIsNoTomlNamesItsLine() {
        InvalidConfigException e = catchThrowableOfType(InvalidConfigException.class, () -> parse("a = 1\nb = = 2\n"));
        assertThat(e.findings()).hasSize(1);
        assertThat(e.findings().get(0).line()).isEqualTo(2);
        assertThat(e.getMessage()).startsWith("f.toml:2: not TOML: ");
    }

    @Test
    void aMissingTextAndAWrongKindOfValueAreFindings() throws Exception {
        TomlTable t = parse("[a]\nhosts = 3\n");
        TomlTable a = t.table("a");
        assertThat(a.text("id")).isEmpty();
        assertThat(a.tables("hosts")).isEmpty();
        InvalidConfigException e = catchThrowableOfType(InvalidConfigException.class, t::finish);
        assertThat(e.findings()).extracting(ConfigProblem::line).containsExactly(1, 2);
    }

    @Test
    void theNearestNameIsFoundAndAFarOneIsNot() {
        java.util.List<String> names = java.util.List.of("balance", "bind", "maxconn");
        assertThat(DidYouMean.to("maxcon", names)).isEqualTo("maxconn");
        assertThat(DidYouMean.to("balence", names)).isEqualTo("balance");
        assertThat(DidYouMean.to("timeout", names)).isNull();
        assertThat(DidYouMean.distance("kitten", "sitting")).isEqualTo(3);
        assertThat(DidYouMean.distance("hnag", "hang")).isEqualTo(1);
    }
}
