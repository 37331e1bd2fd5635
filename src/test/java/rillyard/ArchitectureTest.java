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

/** The arrows of docs/ARCHITECTURE.md. */
@AnalyzeClasses(packages = "rillyard", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    /** Packages that decide, and do nothing else. */
    private static final String[] DECISIONS = {
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
            .resideInAnyPackage(DECISIONS)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "java.nio.channels..", "java.util.concurrent..")
            .because("a decision that does I/O can't be tested as one");

    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(DECISIONS)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .resideInAnyPackage("java.time..")
            .because("the caller tells the time");

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
            .because("its first use loads the data of locales: tens of milliseconds on the event loop");

    @ArchTest
    static final ArchRule BALANCER_STANDS_ALONE = classes()
            .that()
            .resideInAPackage("rillyard.balancer..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("rillyard.balancer..", "java..")
            .because("it is the same code on sockets and on the simulator's wire");

    @ArchTest
    static final ArchRule NO_CYCLES =
            slices().matching("rillyard.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule NO_CYCLES_WITHIN_PROXY =
            slices().matching("rillyard.proxy.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule ONLY_LIFECYCLE_KNOWS_COMPOSITION_ROOT = noClasses()
            .that()
            .resideInAPackage("rillyard.proxy.*..")
            .and()
            .resideOutsideOfPackage("rillyard.proxy.lifecycle..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("rillyard.proxy")
            .because("the composition root knows the proxy's parts, and no part knows it");

    @ArchTest
    static final ArchRule THE_PROXY_KNOWS_NOTHING_OF_ITS_REHEARSAL = noClasses()
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
            .because("the platform's process loads none of it");

    /** Each place is listed in docs/design/host-age.md with what a step of the wall clock does there. */
    @ArchTest
    static final ArchRule THE_WALL_CLOCK_IS_READ_IN_FEW_PLACES = noClasses()
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
            .because("deadlines, windows, waits and graces are spans of real time, and the wall clock may be stepped");

    @ArchTest
    static final ArchRule WHAT_MAKES_LOAD_AND_WHAT_BEARS_IT_ARE_APART = noClasses()
            .that()
            .resideInAPackage("rillyard.loadgen..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("rillyard.testserver..");
}
