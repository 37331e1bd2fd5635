package rillyard.membership;

/** What is believed of a member. Of two words of one life the later in this order holds. */
public enum MemberStatus {
    ALIVE,
    /** It did not answer; unless it speaks up in time it is dead. */
    SUSPECT,
    DEAD,
    /** It said that it goes. */
    LEFT;

    /** Whether it may still be there. */
    public boolean present() {
        return this == ALIVE || this == SUSPECT;
    }
}
