package rillyard.hotrestart;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the directory that the processes of one proxy share: its locks and its disabled hosts.
 *
 * <p>Guards against a process that shuts down before its successor listens, a disabled host that another process still
 * uses, and a step of the wall clock that changes when a host was enabled. Times are in ms.
 */
class HotRestartLockTest {
    private static final long HOUR = 3_600_000;

    @TempDir
    Path tmp;

    @Test
    void firstProcessIsActiveUntilItEndsAndSeesStandby() throws Exception {
        Path directory = tmp.resolve("deep/er");
        HotRestartLock first = new HotRestartLock(directory);
        assertThat(first.isActive()).isTrue();
        HotRestartLock second = new HotRestartLock(directory);
        assertThat(second.isActive()).isFalse();
        assertThat(first.hasStandby()).isFalse(); // it does not listen yet
        second.becomeStandby();
        assertThat(first.hasStandby()).isTrue();
        assertThat(second.hasStandby()).isFalse();
        first.close();
        second.becomeStandby();
        assertThat(second.isActive()).isTrue();
        assertThat(second.hasStandby()).isFalse();
        HotRestartLock third = new HotRestartLock(directory);
        third.becomeStandby();
        assertThat(second.hasStandby()).isTrue();
        third.close();
        assertThat(second.hasStandby()).isFalse(); // the standby has ended
        second.close();
    }

    @Test
    void disabledHostsAreSeenByOtherProcess() throws Exception {
        DisabledHostStore first = new DisabledHostStore(tmp);
        DisabledHostStore second = new DisabledHostStore(tmp);
        String unusualName = "../s-5be2a07c/ü \"";
        first.disable("a");
        first.disable("a");
        second.disable(unusualName);
        assertThat(second.read(1_000, 1_000).disabled()).containsExactlyInAnyOrder("a", unusualName);
        second.enable("a", 5_000);
        second.enable("a", 6_000); // the host is enabled already: the first call counts
        assertThat(first.read(7_000, 7_000))
                .isEqualTo(new DisabledHostStore.Contents(Set.of(unusualName), Map.of("a", 5_000L)));
        first.disable("a");
        assertThat(second.read(8_000, 8_000))
                .isEqualTo(new DisabledHostStore.Contents(Set.of("a", unusualName), Map.of()));
    }

    @Test
    void foreignFilesAreIgnoredAndOutdatedOnesRemoved() throws Exception {
        DisabledHostStore store = new DisabledHostStore(tmp);
        Files.createFile(tmp.resolve("out-%%"));
        Files.createFile(tmp.resolve("serving"));
        store.disable("a");
        store.enable("a", 1_000);
        assertThat(store.read(1_000_000, 1_000_000)).isEqualTo(new DisabledHostStore.Contents(Set.of(), Map.of()));
        assertThat(store.read(1_000, 1_000)).isEqualTo(new DisabledHostStore.Contents(Set.of(), Map.of()));
        assertThat(tmp.resolve("out-%%")).exists();
    }

    @Test
    void enabledTimeInFutureCountsAsNow() throws Exception {
        DisabledHostStore store = new DisabledHostStore(tmp);
        store.disable("a");
        store.enable("a", 1_000);
        try (var files = Files.list(tmp)) {
            Files.setLastModifiedTime(files.findFirst().orElseThrow(), FileTime.fromMillis(99_000));
        }
        assertThat(store.read(5_000, 5_000).enabledAtUnixMillis()).isEqualTo(Map.of("a", 5_000L));
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR, HOUR})
    void stepOfWallClockLeavesEnabledTimeAsItWas(long stepMillis) throws Exception {
        DisabledHostStore store = new DisabledHostStore(tmp);
        store.disable("a");
        store.enable("a", HOUR * 2);
        assertThat(store.read(HOUR * 2, 1_000).enabledAtUnixMillis()).isEqualTo(Map.of("a", 1_000L));

        assertThat(store.read(HOUR * 2 + stepMillis, 1_150).enabledAtUnixMillis())
                .isEqualTo(Map.of("a", 1_000L));
        assertThat(store.read(HOUR * 2 + stepMillis, 121_000).enabledAtUnixMillis())
                .isEqualTo(Map.of("a", 1_000L));
        assertThat(store.read(HOUR * 2 + stepMillis, 121_001).enabledAtUnixMillis())
                .isEmpty();
        assertThat(tmp).isEmptyDirectory();
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR, HOUR})
    void stepOfWallClockBetweenEnablingAndReadingCountsAsNoAge(long stepMillis) throws Exception {
        DisabledHostStore store = new DisabledHostStore(tmp);
        store.disable("a");
        store.read(HOUR * 2, 1_000);
        store.enable("a", HOUR * 2 + 100);

        Map<String, Long> enabledAtUnixMillis =
                store.read(HOUR * 2 + stepMillis, 1_150).enabledAtUnixMillis();

        assertThat(enabledAtUnixMillis).containsOnlyKeys("a");
        assertThat(enabledAtUnixMillis.get("a")).isBetween(1_000L, 1_150L);
    }

    @Test
    void removedDirectoryIsCreatedAgain() throws Exception {
        DisabledHostStore store = new DisabledHostStore(tmp.resolve("own"));
        Files.delete(tmp.resolve("own"));
        assertThat(store.read(0, 0).disabled()).isEmpty();
        store.disable("a");
        assertThat(store.read(0, 0).disabled()).containsExactly("a");
    }
}
