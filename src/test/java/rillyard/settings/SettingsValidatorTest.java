package rillyard.settings;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against invalid settings being accepted, valid ones being rejected, and error messages that don't name the
 * key.
 */
class SettingsValidatorTest {
    private static void check(String json) throws Exception {
        SettingsValidator.check(JsonTreeReader.read(json));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "classes[0].deadline | {'classes':[{'name':'a','deadline':'soon'}]}",
                "classes[0].deadline | {'classes':[{'name':'a','deadline':-1}]}",
                "classes[0].deadline | {'classes':[{'name':'a','deadline':1e300}]}",
                "classes[1].name | {'classes':[{'name':'a'},{'name':'a'}]}",
                "classes[0].name | {'classes':[{'deadline':5}]}",
                "classes[0].name | {'classes':['a']}",
                "classes[0].repeatWindow | {'classes':[{'name':'a','repeatWindow':[750]}]}",
                "classes | {'classes':{'name':'a'}}",
                "classes | {'classes':'a'}",
                "limits.maxAttempts | {'classes':[{'name':'a'}],'limits':{'maxAttempts':0}}",
                "limits.maxAttempts | {'classes':[{'name':'a'}],'limits':{'maxAttempts':1.5}}",
                "limits.connectTimeout | {'classes':[{'name':'a'}],'limits':{'connectTimeout':0}}",
                "limits | {'classes':[{'name':'a'}],'limits':7}",
                "rules.startCapacity | {'classes':[{'name':'a'}],'rules':{'startCapacity':30}}",
                "rules.fallMultiple | {'classes':[{'name':'a'}],'rules':{'fallMultiple':-3}}",
                "balancers | {'classes':[{'name':'a'}],'balancers':0}",
                "position | {'classes':[{'name':'a'}],'position':true}",
                "tenants | {'classes':[{'name':'a'}],'tenants':'all'}",
                "tenants[0].portion | {'classes':[{'name':'a'}],'tenants':[{'name':'t','portion':-1}]}"
            })
    void invalidValueIsReportedWithKey(String key, String json) {
        assertThatThrownBy(() -> check(json.replace('\'', '"')))
                .isInstanceOf(MalformedInputException.class)
                .hasMessageStartingWith("settings." + key + ": expected ")
                .hasMessageContaining(", found ")
                .message()
                .doesNotContain("\n");
    }

    @Test
    void settingsOtherThanObjectAreInvalid() {
        for (String json : new String[] {"[]", "7", "null"}) {
            assertThatThrownBy(() -> check(json)).isInstanceOf(MalformedInputException.class);
        }
    }

    @Test
    void absentNullAndUnknownKeysAreValid() {
        assertThatCode(() -> check("{\"classes\":[{\"name\":\"a\"}]}")).doesNotThrowAnyException();
        assertThatCode(() -> check("{\"classes\":[{\"name\":\"a\",\"deadline\":null,\"semantics\":\"new\",\"x\":[]}],"
                        + "\"limits\":null,\"rules\":{\"startCapacity\":0,\"new\":{}},\"unknown\":1}"))
                .doesNotThrowAnyException();
    }
}
