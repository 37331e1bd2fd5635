import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Judges a finished {@code mvn verify} by its test reports, passing over the failures of the tests in KNOWN-RED.txt.
 *
 * <p>Exits with 1 if another test failed, if a listed test did not run, if more than {@link #MAX_KNOWN_RED} tests are
 * listed, if a test class has no report (its process crashed), or if the integration tests timed out or broke off.
 * Prints each listed test with its failure, or that it passed.
 */
final class CheckTestReports {
    private static final int MAX_KNOWN_RED = 20;
    private static final Path KNOWN_RED = Path.of("KNOWN-RED.txt");
    private static final Path TESTS = Path.of("src/test/java");
    private static final List<Path> REPORTS = List.of(Path.of("target/surefire-reports"), Path.of("target/failsafe-reports"));

    /** A line that names a test as {@code package.Class#method}; all other lines are notes or comments. */
    private static final Pattern TEST = Pattern.compile("[a-z][\\w.]*#\\w+");

    private final Set<String> knownRed = new TreeSet<>();
    private final Set<String> reportedClasses = new TreeSet<>();
    private final Set<String> executed = new TreeSet<>();
    private final Map<String, List<String>> failures = new TreeMap<>();
    private final List<String> problems = new ArrayList<>();

    public static void main(String[] arguments) throws Exception {
        System.exit(new CheckTestReports().run() ? 0 : 1);
    }

    private boolean run() throws Exception {
        readKnownRed();
        for (Path folder : REPORTS) {
            readReports(folder);
        }
        checkSummary(REPORTS.get(1).resolve("failsafe-summary.xml"));
        checkAllClassesReported();
        checkFailures();
        for (String test : knownRed) {
            String result = failures.containsKey(test) ? "failed: " + failures.get(test) : "passed";
            System.out.println("known red: " + test + " " + result);
        }
        problems.forEach(problem -> System.out.println("CI failed: " + problem));
        System.out.println(executed.size() + " test methods, " + failures.size() + " failed, " + problems.size() + " problems");
        return problems.isEmpty();
    }

    private void readKnownRed() throws IOException {
        for (String line : Files.readAllLines(KNOWN_RED)) {
            if (line.isBlank() || line.startsWith("#") || line.startsWith(" ")) {
                continue;
            }
            if (TEST.matcher(line.strip()).matches()) {
                knownRed.add(line.strip());
            } else {
                problems.add(KNOWN_RED + " has a line that names no test: " + line);
            }
        }
        if (knownRed.size() > MAX_KNOWN_RED) {
            problems.add(KNOWN_RED + " names " + knownRed.size() + " tests, at most " + MAX_KNOWN_RED + " are allowed");
        }
    }

    private void readReports(Path folder) throws Exception {
        for (Path file : filesBelow(folder, "TEST-.*\\.xml")) {
            String className = file.getFileName().toString().replaceFirst("TEST-", "").replaceFirst("(\\$.*)?\\.xml$", "");
            reportedClasses.add(className);
            NodeList cases = parse(file).getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                readCase(className, (Element) cases.item(i));
            }
        }
    }

    private void readCase(String className, Element testCase) {
        String method = testCase.getAttribute("name").replaceFirst("\\W.*", "");
        String test = className + "#" + method;
        if (testCase.getElementsByTagName("skipped").getLength() == 0) {
            executed.add(test);
        }
        for (String kind : List.of("failure", "error")) {
            NodeList found = testCase.getElementsByTagName(kind);
            for (int i = 0; i < found.getLength(); i++) {
                String text = ((Element) found.item(i)).getTextContent();
                failures.computeIfAbsent(test, key -> new ArrayList<>()).add(text.strip());
            }
        }
    }

    private void checkSummary(Path summary) throws Exception {
        if (!Files.exists(summary)) {
            problems.add(summary + " is missing");
            return;
        }
        Document document = parse(summary);
        NodeList messages = document.getElementsByTagName("failureMessage");
        boolean brokeOff = messages.getLength() > 0 && !messages.item(0).getTextContent().isBlank();
        if (brokeOff || Boolean.parseBoolean(document.getDocumentElement().getAttribute("timeout"))) {
            problems.add("the integration tests timed out or broke off, see " + summary);
        }
    }

    private void checkAllClassesReported() throws IOException {
        for (Path file : filesBelow(TESTS, ".*(Test|IT)\\.java")) {
            String path = TESTS.relativize(file).toString();
            String className = path.substring(0, path.length() - ".java".length()).replace('/', '.');
            if (!reportedClasses.contains(className)) {
                problems.add("no report of " + className);
            }
        }
    }

    private void checkFailures() {
        failures.forEach((test, texts) -> {
            if (!knownRed.contains(test)) {
                problems.add(test + " failed: " + texts);
            }
        });
        for (String test : knownRed) {
            if (!executed.contains(test)) {
                problems.add(KNOWN_RED + " names a test that did not run: " + test);
            }
        }
    }

    private static List<Path> filesBelow(Path folder, String namePattern) throws IOException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.getFileName().toString().matches(namePattern))
                    .sorted()
                    .collect(Collectors.toList());
        }
    }

    private static Document parse(Path file) throws Exception {
        return DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(file.toFile());
    }
}
