package rillyard.membership;

/**
 * How much this member trusts itself (Lifeguard, 3.1): the worse it does, the longer it waits for others,
 * who may be well and only not heard here.
 */
final class LocalHealth {
    private static final int WORST = 8;

    private int score;

    void worse(int by) {
        score = Math.min(WORST, score + by);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    /** What to multiply times by: 1 where all is well, up to 9. */
    int factor() {
        return score + 1;
    }
}
