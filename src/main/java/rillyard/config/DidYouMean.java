package rillyard.config;

import java.util.Collection;

/** Suggests the known name that a mistyped one was most likely meant to be. */
public final class DidYouMean {
    /** Maximum number of edits as a share of the word's length; with more edits a name is not suggested. */
    private static final double MAX_EDIT_SHARE = 0.4;

    private DidYouMean() {}

    /** Returns the known name with the fewest edits, or null if none is similar. */
    public static String suggest(String word, Collection<String> known) {
        String best = null;
        int fewestEdits = (int) Math.max(1, MAX_EDIT_SHARE * word.length()) + 1;
        for (String candidate : known) {
            int edits = distance(word, candidate);
            if (edits < fewestEdits) {
                fewestEdits = edits;
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Returns the number of edits between two words: insertions, deletions, substitutions and swaps of neighbours
     * (optimal string alignment, after Damerau 1964), computed with three rows of the table.
     */
    static int distance(String first, String second) {
        int[] twoAbove = new int[second.length() + 1];
        int[] above = new int[second.length() + 1];
        for (int j = 0; j <= second.length(); j++) {
            above[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int[] row = new int[second.length() + 1];
            row[0] = i;
            for (int j = 1; j <= second.length(); j++) {
                int change = above[j - 1] + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, Math.min(above[j], row[j - 1]) + 1);
                if (i > 1
                        && j > 1
                        && first.charAt(i - 1) == second.charAt(j - 2)
                        && first.charAt(i - 2) == second.charAt(j - 1)) {
                    row[j] = Math.min(row[j], twoAbove[j - 2] + 1);
                }
            }
            twoAbove = above;
            above = row;
        }
        return above[second.length()];
    }
}
