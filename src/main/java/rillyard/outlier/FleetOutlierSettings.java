package rillyard.outlier;

/**
 * How proxies hold together about hosts. Times are in ms.
 *
 * @param window age past which what a proxy saw counts for nothing: some requests of a light proxy at a host
 * @param quorum proxies that have to have seen a host fail, at least, before others leave it for that
 * @param share of all that saw it lately who have to have seen it fail; above a half, so that two halves can't both decide
 * @param hold how long a host stands accused before it is left, besides the time that the first word of another took: so
 *     that those who are served there, and hear of it as late, can say so
 * @param trials a second, of all proxies together, that a host is asked whether it is well again
 * @param back proxies that were served there again, at least, before all come back
 * @param habit time after which a host that this proxy has sent nothing to is none of those that it uses
 * @param ramp time over which they come back, each at an instant of its own
 * @param forget time after which a host that nobody speaks of is as any other
 */
public record FleetOutlierSettings(
        double window,
        int quorum,
        double share,
        double hold,
        double trials,
        int back,
        double habit,
        double ramp,
        double forget) {
    /** Reasons and figures: {@code docs/design/even-load.md}. */
    public static final FleetOutlierSettings USUAL =
            new FleetOutlierSettings(4_000, 3, 2 / 3.0, 1_000, 2, 2, 30_000, 2_000, 20_000);
}
