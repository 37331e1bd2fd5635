package rillyard.membership.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.membership.MemberAddress;

class DatagramCipherTest {
    private static final MemberAddress A = new MemberAddress(0x0A010004, 7_400);
    private static final MemberAddress B = new MemberAddress(0x0A020004, 7_400);
    private static final byte[] WORD = {1, 2, 3};

    private static byte[] key(int fill) {
        byte[] k = new byte[32];
        Arrays.fill(k, (byte) fill);
        return k;
    }

    private static DatagramCipher seal(MemberAddress at, long start, int... keys) {
        return new DatagramCipher(
                Arrays.stream(keys).mapToObj(DatagramCipherTest::key).toList(), at, start, 100);
    }

    @Test
    void whatIsSealedIsOpenedOnceAndByItsSendersAddressOnly() {
        DatagramCipher cipher = seal(A, 1_000, 1);
        DatagramCipher datagramCipher = seal(B, 1_000, 1);
        byte[] sealed = cipher.seal(WORD);
        assertThat(sealed).hasSize(WORD.length + DatagramCipher.BYTES);
        assertThatThrownBy(() -> datagramCipher.open(B, sealed))
                .hasMessageContaining("no key of this fleet for that address");
        assertThat(datagramCipher.open(A, sealed)).isEqualTo(WORD);
        assertThatThrownBy(() -> datagramCipher.open(A, sealed)).hasMessageContaining("opened before");
    }

    @Test
    void lateOnesAreOpenedWithinTheWindowAndNotBehindIt() {
        DatagramCipher cipher = seal(A, 1_000, 1);
        DatagramCipher datagramCipher = seal(B, 1_000, 1);
        byte[] first = cipher.seal(WORD);
        byte[] second = cipher.seal(WORD);
        byte[] third = cipher.seal(WORD);
        datagramCipher.open(A, third);
        assertThat(datagramCipher.open(A, second)).isEqualTo(WORD);
        assertThatThrownBy(() -> datagramCipher.open(A, second)).hasMessageContaining("opened before");
        byte[] newest = third;
        for (int i = 0; i < 64; i++) {
            newest = cipher.seal(WORD);
        }
        datagramCipher.open(A, newest);
        assertThatThrownBy(() -> datagramCipher.open(A, first)).hasMessageContaining("opened before");
    }

    @Test
    void whatAnOlderProcessOfThatAddressSealedIsTurnedAway() {
        DatagramCipher before = seal(A, 1_000, 1);
        byte[] recorded = before.seal(WORD);
        DatagramCipher cipher = seal(B, 1_000, 1);
        cipher.open(A, seal(A, 2_000, 1).seal(WORD));
        assertThatThrownBy(() -> cipher.open(A, recorded)).hasMessageContaining("older process");
    }

    @Test
    void aFleetChangesItsKeyInTwoRounds() {
        DatagramCipher old = seal(A, 1_000, 1);
        DatagramCipher both = seal(B, 1_000, 1, 2);
        DatagramCipher fresh = seal(A, 2_000, 2, 1);
        assertThat(both.open(A, old.seal(WORD))).isEqualTo(WORD);
        assertThat(both.open(A, fresh.seal(WORD))).isEqualTo(WORD);
        assertThat(fresh.open(B, both.seal(WORD))).isEqualTo(WORD);
        assertThatThrownBy(() -> old.open(A, fresh.seal(WORD))).hasMessageContaining("no key");
    }

    @Test
    void anyByteChangedIsTurnedAwayAndTakesNoPlace() {
        DatagramCipher cipher = seal(B, 1_000, 1);
        byte[] good = seal(A, 1_000, 1).seal(WORD);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            assertThatThrownBy(() -> cipher.open(A, bad)).isInstanceOf(IllegalArgumentException.class);
        }
        assertThat(cipher.open(A, good)).isEqualTo(WORD);
    }

    @Test
    void keysOfAnotherLengthAreNone() {
        assertThatThrownBy(() -> new DatagramCipher(List.of(new byte[16]), A, 1, 10))
                .hasMessageContaining("32 bytes");
        assertThatThrownBy(() -> new DatagramCipher(List.of(), A, 1, 10)).hasMessageContaining("one or two keys");
    }
}
