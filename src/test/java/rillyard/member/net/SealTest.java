package rillyard.member.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.member.Endpoint;

class SealTest {
    private static final Endpoint A = new Endpoint(0x0A010004, 7_400);
    private static final Endpoint B = new Endpoint(0x0A020004, 7_400);
    private static final byte[] WORD = {1, 2, 3};

    private static byte[] key(int fill) {
        byte[] k = new byte[32];
        Arrays.fill(k, (byte) fill);
        return k;
    }

    private static Seal seal(Endpoint at, long start, int... keys) {
        return new Seal(Arrays.stream(keys).mapToObj(SealTest::key).toList(), at, start, 100);
    }

    @Test
    void whatIsSealedIsOpenedOnceAndByItsSendersAddressOnly() {
        Seal a = seal(A, 1_000, 1);
        Seal b = seal(B, 1_000, 1);
        byte[] sealed = a.seal(WORD);
        assertThat(sealed).hasSize(WORD.length + Seal.BYTES);
        assertThatThrownBy(() -> b.open(B, sealed)).hasMessageContaining("no key of this fleet for that address");
        assertThat(b.open(A, sealed)).isEqualTo(WORD);
        assertThatThrownBy(() -> b.open(A, sealed)).hasMessageContaining("opened before");
    }

    @Test
    void lateOnesAreOpenedWithinTheWindowAndNotBehindIt() {
        Seal a = seal(A, 1_000, 1);
        Seal b = seal(B, 1_000, 1);
        byte[] first = a.seal(WORD);
        byte[] second = a.seal(WORD);
        byte[] third = a.seal(WORD);
        b.open(A, third);
        assertThat(b.open(A, second)).isEqualTo(WORD);
        assertThatThrownBy(() -> b.open(A, second)).hasMessageContaining("opened before");
        byte[] newest = third;
        for (int i = 0; i < 64; i++) {
            newest = a.seal(WORD);
        }
        b.open(A, newest);
        assertThatThrownBy(() -> b.open(A, first)).hasMessageContaining("opened before");
    }

    @Test
    void whatAnOlderProcessOfThatAddressSealedIsTurnedAway() {
        Seal before = seal(A, 1_000, 1);
        byte[] recorded = before.seal(WORD);
        Seal b = seal(B, 1_000, 1);
        b.open(A, seal(A, 2_000, 1).seal(WORD));
        assertThatThrownBy(() -> b.open(A, recorded)).hasMessageContaining("older process");
    }

    @Test
    void aFleetChangesItsKeyInTwoRounds() {
        Seal old = seal(A, 1_000, 1);
        Seal both = seal(B, 1_000, 1, 2);
        Seal fresh = seal(A, 2_000, 2, 1);
        assertThat(both.open(A, old.seal(WORD))).isEqualTo(WORD);
        assertThat(both.open(A, fresh.seal(WORD))).isEqualTo(WORD);
        assertThat(fresh.open(B, both.seal(WORD))).isEqualTo(WORD);
        assertThatThrownBy(() -> old.open(A, fresh.seal(WORD))).hasMessageContaining("no key");
    }

    @Test
    void anyByteChangedIsTurnedAwayAndTakesNoPlace() {
        Seal b = seal(B, 1_000, 1);
        byte[] good = seal(A, 1_000, 1).seal(WORD);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            assertThatThrownBy(() -> b.open(A, bad)).isInstanceOf(IllegalArgumentException.class);
        }
        assertThat(b.open(A, good)).isEqualTo(WORD);
    }

    @Test
    void keysOfAnotherLengthAreNone() {
        assertThatThrownBy(() -> new Seal(List.of(new byte[16]), A, 1, 10)).hasMessageContaining("32 bytes");
        assertThatThrownBy(() -> new Seal(List.of(), A, 1, 10)).hasMessageContaining("one or two keys");
    }
}
