package rillyard.membership;

/**
 * Who a member is.
 *
 * @param name of 1 to {@link #MAX_NAME} printable ASCII characters, unique in the fleet
 * @param zone number of its zone, 0 to 255, as all settings of the fleet have it
 * @param region number of its region, 0 to 255
 */
public record MemberIdentity(String name, MemberAddress address, int zone, int region) {
    public static final int MAX_NAME = 16;

    public MemberIdentity {
        if (!isName(name)) {
            throw new IllegalArgumentException(
                    "name '" + name + "', expected 1 to " + MAX_NAME + " printable ASCII characters");
        }
        if (zone < 0 || zone > 255 || region < 0 || region > 255) {
            throw new IllegalArgumentException("zone " + zone + ", region " + region + ", expected 0 to 255");
        }
    }

    static boolean isName(String s) {
        return !s.isEmpty() && s.length() <= MAX_NAME && s.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
