package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** The measured rate of a proxy's own requests. */
class AdmissionControllerTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    /** Otherwise a process that takes over would send warming hosts next to nothing in its first seconds. */
    @Test
    void rateAfterTakeoverIsNearTrueRateAndNeverAbove() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        AdmissionController admission = new AdmissionController(settings, new java.util.SplittableRandom(1), fixture);
        assertThat(admission.servedRate(fixture.now)).isZero();
        for (int ms = 0; ms <= 20_000; ms += 10) { // 0.1 a ms
            admission.onRequest(fixture.now + ms, settings.classes().get(0));
            if (ms >= 1_000) {
                assertThat(admission.servedRate(fixture.now + ms)).isBetween(0.05, 0.101);
            }
        }
        assertThat(admission.servedRate(fixture.now + 20_000)).isCloseTo(0.1, within(0.002));
    }
}
