package rillyard.membership;

/**
 * The identity of a member.
 *
 * @param name 1 to {@link #MAX_NAME} printable ASCII characters, unique in the fleet
 * @param address the address at which others reach it
 * @param zone the number of its zone, 0 to 255, the same in the settings of all members
 * @param region the number of its region, 0 to 255
 */
public record MemberIdentity(String name, MemberAddress address, int zone, int region) {
    /** Maximum length of a name in characters. */
    public static final int MAX_NAME = 16;

    private static final int MAX_LOCATION = 255;
    private static final char ASCII_DELETE = 127;

    /** Checks all ranges. */
    public MemberIdentity {
        if (!isValidName(name)) {
            throw new IllegalArgumentException(
                    "name '" + name + "', expected 1 to " + MAX_NAME + " printable ASCII characters");
        }
        if (zone < 0 || zone > MAX_LOCATION || region < 0 || region > MAX_LOCATION) {
            throw new IllegalArgumentException("zone " + zone + ", region " + region + ", expected 0 to 255");
        }
    }

    static boolean isValidName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_NAME
                && text.chars().allMatch(character -> character > ' ' && character < ASCII_DELETE);
    }
}
