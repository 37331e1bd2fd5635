package rillyard.membership;

/**
 * The local health multiplier (Lifeguard, 3.1): the less this member trusts itself, the longer it waits for others, who
 * may be well and only not heard here. Not thread-safe.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    private int score;

    /** Lowers the health by so many points. */
    void degrade(int points) {
        score = Math.min(MAX_SCORE, score + points);
    }

    /** Raises the health by a point. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Returns the factor for probe times: 1 for a healthy member, up to 9. */
    int factor() {
        return score + 1;
    }
}
