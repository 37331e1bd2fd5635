package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * Compares candidates: the host with the fewest weighted requests wins, among equal counts the one with the shortest
 * expected wait, and remaining ties are broken at random. One instance serves one selection. Not thread-safe.
 */
final class LeastRequestComparison {
    /** Difference up to which counts are equal, so that penalties that have nearly decayed decide nothing. */
    private static final double COUNT_TOLERANCE = 0.5;

    private final SplittableRandom random;
    private HostState winner;
    private double winnerCount;
    private double winnerWait;
    private int tiedHosts;

    /** Creates a comparison without a candidate. */
    LeastRequestComparison(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the winner so far, null before the first candidate. */
    HostState winner() {
        return winner;
    }

    /** Compares another candidate with the winner so far. */
    void offer(HostState host, double count, double wait) {
        if (winner == null || count < winnerCount - COUNT_TOLERANCE) {
            tiedHosts = 1;
            setWinner(host, count, wait);
        } else if (count <= winnerCount + COUNT_TOLERANCE) {
            offerWithEqualCount(host, count, wait);
        }
    }

    private void offerWithEqualCount(HostState host, double count, double wait) {
        if (isTie(wait)) {
            tiedHosts++;
            if (random.nextInt(tiedHosts) == 0) {
                setWinner(host, count, wait);
            }
        } else if (wait < winnerWait) {
            setWinner(host, count, wait);
        }
    }

    private boolean isTie(double wait) {
        return Math.abs(wait - winnerWait) <= Tuning.WAIT_TIE_TOLERANCE * winnerWait;
    }

    private void setWinner(HostState host, double count, double wait) {
        winner = host;
        winnerCount = count;
        winnerWait = wait;
    }
}
