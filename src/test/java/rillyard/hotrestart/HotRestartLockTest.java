package rillyard.hotrestart;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HotRestartLockTest {
    @TempDir
    Path tmp;

    @Test
    void theFirstIsInChargeUntilItEndsAndSeesWhoFollows() throws Exception {
        Path folder = tmp.resolve("deep/er");
        HotRestartLock first = new HotRestartLock(folder);
        assertThat(first.isActive()).isTrue();
        HotRestartLock second = new HotRestartLock(folder);
        assertThat(second.isActive()).isFalse();
        assertThat(first.hasStandby()).isFalse(); // it does not listen yet
        second.becomeStandby();
        assertThat(first.hasStandby()).isTrue();
        assertThat(second.hasStandby()).isFalse();
        first.close();
        second.becomeStandby();
        assertThat(second.isActive()).isTrue();
        assertThat(second.hasStandby()).isFalse();
        HotRestartLock third = new HotRestartLock(folder);
        third.becomeStandby();
        assertThat(second.hasStandby()).isTrue();
        third.close();
        assertThat(second.hasStandby()).isFalse(); // it died: nobody follows any more
        second.close();
    }

    @Test
    void hostsOutAreSeenByTheOtherProcess() throws Exception {
        DisabledHostStore one = new DisabledHostStore(tmp);
        DisabledHostStore other = new DisabledHostStore(tmp);
        String odd = "../s-5be2a07c/ü \"";
        one.disable("a");
        one.disable("a");
        other.disable(odd);
        assertThat(other.read(1_000).disabled()).containsExactlyInAnyOrder("a", odd);
        other.enable("a", 5_000);
        other.enable("a", 6_000); // not out any more: the first call counts
        assertThat(one.read(7_000)).isEqualTo(new DisabledHostStore.Contents(Set.of(odd), Map.of("a", 5_000L)));
        one.disable("a");
        assertThat(other.read(8_000)).isEqualTo(new DisabledHostStore.Contents(Set.of("a", odd), Map.of()));
    }

    @Test
    void whatIsForeignIsLeftAloneAndWhatIsOldGoes() throws Exception {
        DisabledHostStore folder = new DisabledHostStore(tmp);
        Files.createFile(tmp.resolve("out-%%"));
        Files.createFile(tmp.resolve("serving"));
        folder.disable("a");
        folder.enable("a", 1_000);
        assertThat(folder.read(1_000_000)).isEqualTo(new DisabledHostStore.Contents(Set.of(), Map.of()));
        assertThat(folder.read(1_000)).isEqualTo(new DisabledHostStore.Contents(Set.of(), Map.of()));
        assertThat(tmp.resolve("out-%%")).exists();
    }

    @Test
    void aTimeInTheFutureIsTakenForNow() throws Exception {
        DisabledHostStore folder = new DisabledHostStore(tmp);
        folder.disable("a");
        folder.enable("a", 1_000);
        try (var files = Files.list(tmp)) {
            Files.setLastModifiedTime(files.findFirst().orElseThrow(), FileTime.fromMillis(99_000));
        }
        assertThat(folder.read(5_000).enabledAtUnixMillis()).isEqualTo(Map.of("a", 5_000L));
    }

    @Test
    void aFolderThatIsClearedAwayIsMadeAgain() throws Exception {
        DisabledHostStore folder = new DisabledHostStore(tmp.resolve("own"));
        Files.delete(tmp.resolve("own"));
        assertThat(folder.read(0).disabled()).isEmpty();
        folder.disable("a");
        assertThat(folder.read(0).disabled()).containsExactly("a");
    }
}
