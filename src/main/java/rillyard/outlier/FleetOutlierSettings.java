package rillyard.outlier;

/**
 * Parameters of fleet-wide ejection.
 *
 * @param observationWindowMillis age from which on an observation is ignored; long enough that even a proxy with little
 *     load sends a host some requests within it
 * @param quorum least number of proxies whose attempts at a host must have failed before others eject it
 * @param failureShare share of the proxies with recent observations of the host whose attempts must have failed; above
 *     one half, so that two halves of the fleet can't decide differently
 * @param confirmationTimeMillis time for which a host is suspected before it is ejected, in addition to the age of the
 *     newest failure when a peer first reports one. Proxies that the host serves report that only after they have
 *     learned of the failure, equally late
 * @param probesPerSecond probes of an ejected host per second, of all proxies together
 * @param recoveryQuorum least number of proxies that the host must serve again before all proxies readmit it
 * @param usageWindowMillis time after which a host that got no request of this proxy is not counted as used
 * @param recoveryRampMillis time over which the proxies readmit a host, each at a random moment
 * @param forgetAfterMillis time after which a host without reported failures is treated as any other
 */
public record FleetOutlierSettings(
        double observationWindowMillis,
        int quorum,
        double failureShare,
        double confirmationTimeMillis,
        double probesPerSecond,
        int recoveryQuorum,
        double usageWindowMillis,
        double recoveryRampMillis,
        double forgetAfterMillis) {
    /** The values in use; {@code docs/design/even-load.md} has the reasons. */
    public static final FleetOutlierSettings DEFAULT =
            new FleetOutlierSettings(4_000, 3, 2 / 3.0, 1_000, 2, 2, 30_000, 2_000, 20_000);
}
