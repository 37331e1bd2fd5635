package rillyard.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings;

/** Guards against settings being rejected or read differently because they contain keys that the proxy doesn't use. */
class SettingsReaderTest {
    @Test
    void unusedKeysAreAcceptedAndChangeNothing() {
        Settings plain = SettingsReader.read("{\"classes\":[{\"name\":\"a\",\"aim\":100}],"
                + "\"tenants\":[{\"name\":\"t\",\"portion\":0.5}],\"limits\":{\"maxAttempts\":3}}");

        Settings withUnusedKeys = SettingsReader.read("{\"classes\":[{\"name\":\"a\",\"aim\":100}],"
                + "\"tenants\":[{\"name\":\"t\",\"portion\":0.5,\"quotaPerS\":10}],"
                + "\"limits\":{\"maxAttempts\":3,\"streamsPerConn\":4,\"retryAfter\":true,\"maxRetryAfter\":2000},"
                + "\"fees\":{\"crossZone\":1,\"waste\":2},\"worthBy\":\"work\"}");

        assertThat(withUnusedKeys).isEqualTo(plain);
        assertThat(plain.limits().maxAttempts()).isEqualTo(3);
        assertThat(plain.tenants()).containsExactly(new Settings.Tenant("t", 0.5));
    }
}
