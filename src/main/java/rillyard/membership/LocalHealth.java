package rillyard.membership;

/**
 * The local health multiplier (Lifeguard, 3.1): the more signs there are that this member itself is slow or loses
 * datagrams, the longer it waits for the acks of others, which may be healthy. Not thread-safe.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    private int score;

    /** Lowers the health by a number of points. */
    void degrade(int points) {
        score = Math.min(MAX_SCORE, score + points);
    }

    /** Raises the health by one point. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Returns the factor for probe times: 1 for a healthy member, up to 9. */
    int factor() {
        return score + 1;
    }
}
