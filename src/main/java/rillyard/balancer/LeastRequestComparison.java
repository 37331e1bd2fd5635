package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * One comparison of candidates: the host with the fewest weighted requests wins, among equal ones the one with the shortest
 * expected wait, and among those chance decides. Made for one selection. Not thread-safe.
 */
final class LeastRequestComparison {
    /** Counts that differ by no more than this are equal: penalties that have nearly decayed decide nothing. */
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

    /** Returns the host that has won so far, null before the first candidate. */
    HostState winner() {
        return winner;
    }

    /** Compares a further candidate with the winner so far. */
    void offer(HostState host, double count, double wait) {
        if (winner == null || count < winnerCount - COUNT_TOLERANCE) {
            tiedHosts = 1;
            win(host, count, wait);
        } else if (count <= winnerCount + COUNT_TOLERANCE) {
            offerWithEqualCount(host, count, wait);
        }
    }

    private void offerWithEqualCount(HostState host, double count, double wait) {
        if (isTie(wait)) {
            tiedHosts++;
            if (random.nextInt(tiedHosts) == 0) {
                win(host, count, wait);
            }
        } else if (wait < winnerWait) {
            win(host, count, wait);
        }
    }

    private boolean isTie(double wait) {
        return Math.abs(wait - winnerWait) <= Tuning.WAIT_TIE_TOLERANCE * winnerWait;
    }

    private void win(HostState host, double count, double wait) {
        winner = host;
        winnerCount = count;
        winnerWait = wait;
    }
}
