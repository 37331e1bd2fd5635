package rillyard;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against a renamed or removed type or method that docs/ARCHITECTURE.md still names. */
class DocumentationTest {
    private static final Path PAGE = Path.of("docs/ARCHITECTURE.md");

    /** A type in backticks, optionally with a method: {@code Type}, {@code Type#method} or {@code Type.method}. */
    private static final Pattern NAME_IN_BACKTICKS = Pattern.compile("`([A-Z][A-Za-z]+)(?:[#.]([a-z][A-Za-z]*))?`");

    /** A word of a diagram that has the form of a type name of two or more words, optionally with a method. */
    private static final Pattern NAME_IN_DIAGRAM =
            Pattern.compile("\\b([A-Z][a-z]+(?:[A-Z][a-z]+)+)(?:\\.([a-z][A-Za-z]*))?");

    private final Map<String, List<JavaClass>> types = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeArchives()).importPackages("rillyard").stream()
                    .collect(Collectors.groupingBy(JavaClass::getSimpleName));

    @Test
    void everyTypeAndMethodNamedInTheArchitectureExists() throws IOException {
        String page = Files.readString(PAGE);
        List<String> missing = new ArrayList<>();

        int named = collectMissing(NAME_IN_BACKTICKS.matcher(page), missing);
        Matcher diagrams = Pattern.compile("```mermaid(.*?)```", Pattern.DOTALL).matcher(page);
        while (diagrams.find()) {
            named += collectMissing(NAME_IN_DIAGRAM.matcher(diagrams.group(1)), missing);
        }

        assertThat(missing)
                .as("names in %s of types or methods that don't exist", PAGE)
                .isEmpty();
        assertThat(named).isGreaterThan(100);
    }

    private int collectMissing(Matcher names, List<String> missing) {
        int count = 0;
        while (names.find()) {
            count++;
            if (!exists(names.group(1), names.group(2))) {
                missing.add(names.group());
            }
        }
        return count;
    }

    private boolean exists(String type, String method) {
        return types.getOrDefault(type, List.of()).stream()
                .anyMatch(found -> method == null
                        || found.getMethods().stream()
                                .anyMatch(known -> known.getName().equals(method)));
    }
}
