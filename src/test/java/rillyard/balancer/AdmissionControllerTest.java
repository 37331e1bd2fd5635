package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests the rate of served requests that a proxy measures, which limits its requests to a host in slow start. */
class AdmissionControllerTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    /**
     * A process that has just taken over has measured for a short time only. If its rate started near zero, it would
     * send hosts that are warming up almost no requests in its first seconds.
     */
    @Test
    void rateAfterTakeoverIsNearTrueRateAndNeverAbove() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        AdmissionController admission = new AdmissionController(settings, new java.util.SplittableRandom(1), fixture);
        assertThat(admission.servedRate(fixture.nowMillis)).isZero();
        for (int ms = 0; ms <= 20_000; ms += 10) { // 0.1 requests per ms
            admission.onRequest(fixture.nowMillis + ms, settings.classes().get(0));
            if (ms >= 1_000) {
                assertThat(admission.servedRate(fixture.nowMillis + ms)).isBetween(0.05, 0.101);
            }
        }
        assertThat(admission.servedRate(fixture.nowMillis + 20_000)).isCloseTo(0.1, within(0.002));
    }
}
