package rillyard;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Date;

/** Checks that packages depend on each other only as docs/ARCHITECTURE.md permits. */
@AnalyzeClasses(packages = "rillyard", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    /** Packages that contain decisions only: they do no I/O and get the time from their caller. */
    private static final String[] DECISION_PACKAGES = {
        "rillyard.balancer..",
        "rillyard.audit..",
        "rillyard.endpoints..",
        "rillyard.connections..",
        "rillyard.subset..",
        "rillyard.stall..",
        "rillyard.membership",
        "rillyard.modelcheck..",
        "rillyard.outlier",
        "rillyard.imbalance"
    };

    private static final String WALL_CLOCK_READERS = "rillyard\\.(proxy\\.dispatch\\.BalancerClock"
            + "|proxy\\.admin\\.ProxyAdmin"
            + "|trace\\.ProxyTrace"
            + "|requestlog\\.UnixClock"
            + "|membership\\.net\\.FleetMember"
            + "|cli\\.MembersCommand"
            + "|testserver\\.TestCluster)";

    @ArchTest
    static final ArchRule DECISIONS_DO_NO_IO = noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "java.nio.channels..", "java.util.concurrent..")
            .because("decisions that do I/O can't be tested on their own");

    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .resideInAnyPackage("java.time..")
            .because("the caller passes in the time");

    @ArchTest
    static final ArchRule NO_FORMATTER_WHILE_SERVING = noClasses()
            .that()
            .resideInAnyPackage("rillyard.proxy..", "rillyard.balancer..", "rillyard.endpoints..", "rillyard.admin..")
            .should()
            .callMethod(String.class, "format", String.class, Object[].class)
            .orShould()
            .callMethod(String.class, "format", java.util.Locale.class, String.class, Object[].class)
            .orShould()
            .callMethod(String.class, "formatted", Object[].class)
            .because("its first use loads locale data, which stalls the event loop for tens of milliseconds");

    @ArchTest
    static final ArchRule BALANCER_DEPENDS_ON_JDK_ONLY = classes()
            .that()
            .resideInAPackage("rillyard.balancer..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("rillyard.balancer..", "java..")
            .because("the same code runs in the proxy and in the simulation");

    @ArchTest
    static final ArchRule NO_CYCLES =
            slices().matching("rillyard.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule NO_CYCLES_WITHIN_PROXY =
            slices().matching("rillyard.proxy.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule ONLY_LIFECYCLE_DEPENDS_ON_COMPOSITION_ROOT = noClasses()
            .that()
            .resideInAPackage("rillyard.proxy.*..")
            .and()
            .resideOutsideOfPackage("rillyard.proxy.lifecycle..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("rillyard.proxy")
            .because("the composition root depends on the proxy's parts, and no part depends on it");

    @ArchTest
    static final ArchRule PROXY_DOES_NOT_DEPEND_ON_REHEARSAL = noClasses()
            .that()
            .resideInAnyPackage(
                    "rillyard.proxy..", "rillyard.balancer..", "rillyard.simulation..", "rillyard.settings..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "rillyard.loadgen..",
                    "rillyard.testserver..",
                    "rillyard.audit..",
                    "rillyard.demo..",
                    "rillyard.requestlog..",
                    "rillyard.scheduling..",
                    "rillyard.config..",
                    "rillyard.cli..",
                    "rillyard.childprocess..",
                    "rillyard.benchmark..",
                    "rillyard.subset..",
                    "rillyard.membership..",
                    "rillyard.faultinjection..",
                    "rillyard.outlier..",
                    "org.apache.commons.statistics..",
                    "picocli..",
                    "org.HdrHistogram..",
                    "com.fasterxml.jackson.dataformat..",
                    "io.netty.channel.epoll..")
            .because("the proxy's process must load none of these classes");

    /** docs/design/host-age.md lists each of these classes and the effect that a step of the wall clock has there. */
    @ArchTest
    static final ArchRule WALL_CLOCK_IS_READ_BY_LISTED_CLASSES_ONLY = noClasses()
            .that()
            .haveNameNotMatching(WALL_CLOCK_READERS)
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Instant.class, "now")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Clock.class)
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Date.class)
            .because("deadlines, windows, waits and grace periods are durations, and the wall clock may be stepped");

    @ArchTest
    static final ArchRule LOAD_GENERATOR_DOES_NOT_DEPEND_ON_TEST_SERVER = noClasses()
            .that()
            .resideInAPackage("rillyard.loadgen..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("rillyard.testserver..");
}
