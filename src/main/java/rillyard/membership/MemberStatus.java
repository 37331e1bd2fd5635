package rillyard.membership;

/**
 * The status of a member. Of two updates with the same incarnation, the one whose status comes later in this order
 * overrides the other.
 */
public enum MemberStatus {
    /** The member is not suspected, or has refuted the suspicion. */
    ALIVE(0),
    /** The member did not respond to a probe; it is declared dead unless it refutes the suspicion in time. */
    SUSPECT(1),
    /** The member did not refute a suspicion in time. */
    DEAD(2),
    /** The member has announced that it leaves. */
    LEFT(3);

    private final int code;

    MemberStatus(int code) {
        this.code = code;
    }

    /** Returns the code of the status in datagrams. */
    int code() {
        return code;
    }

    /**
     * Returns the status with a code.
     *
     * @throws IllegalArgumentException if there is none
     */
    static MemberStatus ofCode(int code) {
        return switch (code) {
            case 0 -> ALIVE;
            case 1 -> SUSPECT;
            case 2 -> DEAD;
            case 3 -> LEFT;
            default -> throw new IllegalArgumentException("status code " + code + ", expected 0 to 3");
        };
    }

    /** Returns whether the member may still be running. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
