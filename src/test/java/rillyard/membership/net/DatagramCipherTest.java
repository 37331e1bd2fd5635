package rillyard.membership.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.membership.MemberAddress;

/** Tests the sealing and opening of datagrams, replays and key changes. */
class DatagramCipherTest {
    private static final MemberAddress A = new MemberAddress(0x0A010004, 7_400);
    private static final MemberAddress B = new MemberAddress(0x0A020004, 7_400);
    private static final byte[] PLAIN = {1, 2, 3};

    private static byte[] key(int fill) {
        byte[] key = new byte[32];
        Arrays.fill(key, (byte) fill);
        return key;
    }

    private static DatagramCipher cipher(MemberAddress address, long startedAtMillis, int... keys) {
        return new DatagramCipher(
                Arrays.stream(keys).mapToObj(DatagramCipherTest::key).toList(), address, startedAtMillis, 100);
    }

    @Test
    void sealedDatagramIsOpenedOnceAndForItsSenderAddressOnly() {
        DatagramCipher sender = cipher(A, 1_000, 1);
        DatagramCipher receiver = cipher(B, 1_000, 1);
        byte[] sealed = sender.seal(PLAIN);
        assertThat(sealed).hasSize(PLAIN.length + DatagramCipher.OVERHEAD_BYTES);
        assertThatThrownBy(() -> receiver.open(B, sealed))
                .hasMessageContaining("not sealed with a key of this fleet for the sender's address");
        assertThat(receiver.open(A, sealed)).isEqualTo(PLAIN);
        assertThatThrownBy(() -> receiver.open(A, sealed)).hasMessageContaining("datagram replayed");
    }

    @Test
    void lateDatagramsAreOpenedWithinReplayWindowOnly() {
        DatagramCipher sender = cipher(A, 1_000, 1);
        DatagramCipher receiver = cipher(B, 1_000, 1);
        byte[] first = sender.seal(PLAIN);
        byte[] second = sender.seal(PLAIN);
        byte[] third = sender.seal(PLAIN);
        receiver.open(A, third);
        assertThat(receiver.open(A, second)).isEqualTo(PLAIN);
        assertThatThrownBy(() -> receiver.open(A, second)).hasMessageContaining("datagram replayed");
        byte[] newest = third;
        for (int i = 0; i < 64; i++) {
            newest = sender.seal(PLAIN);
        }
        receiver.open(A, newest);
        assertThatThrownBy(() -> receiver.open(A, first)).hasMessageContaining("datagram replayed");
    }

    @Test
    void datagramOfEarlierProcessIsRejected() {
        DatagramCipher earlier = cipher(A, 1_000, 1);
        byte[] recorded = earlier.seal(PLAIN);
        DatagramCipher cipher = cipher(B, 1_000, 1);
        cipher.open(A, cipher(A, 2_000, 1).seal(PLAIN));
        assertThatThrownBy(() -> cipher.open(A, recorded)).hasMessageContaining("older process");
    }

    @Test
    void fleetChangesItsKeyInTwoRounds() {
        DatagramCipher old = cipher(A, 1_000, 1);
        DatagramCipher both = cipher(B, 1_000, 1, 2);
        DatagramCipher restarted = cipher(A, 2_000, 2, 1);
        assertThat(both.open(A, old.seal(PLAIN))).isEqualTo(PLAIN);
        assertThat(both.open(A, restarted.seal(PLAIN))).isEqualTo(PLAIN);
        assertThat(restarted.open(B, both.seal(PLAIN))).isEqualTo(PLAIN);
        assertThatThrownBy(() -> old.open(A, restarted.seal(PLAIN)))
                .hasMessageContaining("not sealed with a key of this fleet");
    }

    @Test
    void modifiedDatagramIsRejectedAndNotRecorded() {
        DatagramCipher cipher = cipher(B, 1_000, 1);
        byte[] good = cipher(A, 1_000, 1).seal(PLAIN);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            assertThatThrownBy(() -> cipher.open(A, bad)).isInstanceOf(IllegalArgumentException.class);
        }
        assertThat(cipher.open(A, good)).isEqualTo(PLAIN);
    }

    @Test
    void keysOfWrongLengthOrNumberAreRejected() {
        assertThatThrownBy(() -> new DatagramCipher(List.of(new byte[16]), A, 1, 10))
                .hasMessageContaining("32 bytes");
        assertThatThrownBy(() -> new DatagramCipher(List.of(), A, 1, 10)).hasMessageContaining("one or two keys");
    }
}
