package rillyard.outlier;

/**
 * Parameters of fleet-wide ejection. Times are milliseconds.
 *
 * @param observationWindow age from which on an observation is ignored: some requests of a light proxy to a host
 * @param quorum least number of proxies that must have seen a host fail before others eject it
 * @param failureShare fraction of the proxies that recently saw the host which must have seen it fail; above one half, so
 *     that two halves of the fleet can't decide differently
 * @param confirmationTime how long a host is suspected before it is ejected, beside the age of the first peer's failure, so
 *     that proxies which it serves and which hear of it as late can say so
 * @param probesPerSecond probes of an ejected host per second, of all proxies together
 * @param recoveryQuorum least number of proxies that it must serve again before all readmit it
 * @param usageWindow time after which a host that got no request of this proxy is not counted as used
 * @param recoveryRamp time over which the proxies readmit it, each at a random moment
 * @param forgetAfter time after which a host without reported failures is treated as any other
 */
public record FleetOutlierSettings(
        double observationWindow,
        int quorum,
        double failureShare,
        double confirmationTime,
        double probesPerSecond,
        int recoveryQuorum,
        double usageWindow,
        double recoveryRamp,
        double forgetAfter) {
    /** The values in use; {@code docs/design/even-load.md} has the reasons. */
    public static final FleetOutlierSettings DEFAULT =
            new FleetOutlierSettings(4_000, 3, 2 / 3.0, 1_000, 2, 2, 30_000, 2_000, 20_000);
}
