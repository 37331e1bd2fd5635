package rillyard.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;

/** Tests typed reads of TOML tables and the problems that they report. */
class TomlTableTest {
    private enum Colour {
        RED,
        DARK_BLUE
    }

    private static TomlTable parse(String text) throws InvalidConfigException {
        return TomlTable.parse("f.toml", text);
    }

    @Test
    void presentKeysAreReadAndAbsentKeysHaveDefaults() throws Exception {
        TomlTable table = parse("a = 3\nb = 'x'\nc = true\nd = [1, 2.5]\ne = 'dark-blue'\n[s]\nf = 1.5\n");
        assertThat(table.integer("a", 0, 0, 10)).isEqualTo(3);
        assertThat(table.text("b", "")).isEqualTo("x");
        assertThat(table.flag("c", false)).isTrue();
        assertThat(table.numbers("d", new double[0], 0, 10)).containsExactly(1, 2.5);
        assertThat(table.choice("e", Colour.class, Colour.RED)).isEqualTo(Colour.DARK_BLUE);
        assertThat(table.table("s").number("f", 0, 0, 10)).isEqualTo(1.5);
        assertThat(table.table("none").number("g", 7, 0, 10)).isEqualTo(7);
        assertThat(table.tables("many")).isEmpty();
        table.finish();
    }

    @Test
    void allProblemsAreReportedWithLineNumbers() throws Exception {
        TomlTable table = parse(
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
        table.integer("count", 0, 0, 10);
        table.text("text", "");
        table.choice("colour", Colour.class, Colour.RED);
        for (TomlTable tomlTable : table.tables("host")) {
            tomlTable.text("id");
            tomlTable.integer("cores", 1, 1, 64);
            TomlTable inner = tomlTable.table("inner");
            inner.integer("x", 0, 0, 9);
            inner.integer("count", 0, 0, 9);
        }
        InvalidConfigException exception = catchThrowableOfType(InvalidConfigException.class, table::finish);
        assertThat(exception.problems())
                .extracting(ConfigProblem::toString)
                .containsExactly(
                        "f.toml:2: count: found 12, expected a whole number from 0 to 10",
                        "f.toml:7: colour: found 'reed', expected one of red, dark-blue; did you mean 'red'?",
                        "f.toml:12: host[1].cores: found -1, expected a whole number from 1 to 64",
                        "f.toml:14: host[1].inner.x: found \"y\", expected a whole number from 0 to 9",
                        "f.toml:15: host[1].inner.cuont: unknown key; did you mean 'count'?");
    }

    @Test
    void malformedTomlIsReportedWithLineNumber() {
        InvalidConfigException exception =
                catchThrowableOfType(InvalidConfigException.class, () -> parse("a = 1\nb = = 2\n"));
        assertThat(exception.problems()).hasSize(1);
        assertThat(exception.problems().get(0).line()).isEqualTo(2);
        assertThat(exception.getMessage()).startsWith("f.toml:2: not TOML: ");
    }

    @Test
    void missingTextAndWrongTypeAreReported() throws Exception {
        TomlTable table = parse("[a]\nhosts = 3\n");
        TomlTable tomlTable = table.table("a");
        assertThat(tomlTable.text("id")).isEmpty();
        assertThat(tomlTable.tables("hosts")).isEmpty();
        InvalidConfigException exception = catchThrowableOfType(InvalidConfigException.class, table::finish);
        assertThat(exception.problems()).extracting(ConfigProblem::line).containsExactly(1, 2);
    }

    @Test
    void similarNameIsSuggestedAndDistantNameIsNot() {
        java.util.List<String> names = java.util.List.of("balance", "bind", "maxconn");
        assertThat(DidYouMean.suggest("maxcon", names)).isEqualTo("maxconn");
        assertThat(DidYouMean.suggest("balence", names)).isEqualTo("balance");
        assertThat(DidYouMean.suggest("timeout", names)).isNull();
        assertThat(DidYouMean.distance("kitten", "sitting")).isEqualTo(3);
        assertThat(DidYouMean.distance("hnag", "hang")).isEqualTo(1);
    }
}
