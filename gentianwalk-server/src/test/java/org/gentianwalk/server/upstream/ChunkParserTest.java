package org.gentianwalk.server.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.gentianwalk.server.upstream.EngineException.Reason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a chunk that can't be read and counts as one without tokens: the stream would lose
 * them, and would end as complete if they were the last ones.
 */
class ChunkParserTest {
    private static final String CHUNK =
            "{'choices':[{'index':0,'delta':{'content':'ab'},'token_ids':[7,8],'position':5,"
                    + "'finish_reason':null}]}";

    @Test
    void theTokensOfAChunkAreRead() throws Exception {
        assertThat(parse(CHUNK)).isEqualTo(new EngineChunk(5, List.of(7, 8), "ab", null, -1));
        assertThat(parse("{'choices':[{'text':'ab','token_ids':[7],'position':0}]}"))
                .isEqualTo(new EngineChunk(0, List.of(7), "ab", null, -1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'choices':[]}",
                "{'choices':[],'usage':null}",
                "{'choices':[{'delta':{'role':'assistant','content':null}}]}",
                "{'choices':[{'delta':{},'token_ids':null,'position':null,'finish_reason':null}]}",
                "{'choices':[{'text':'','token_ids':[]}]}"
            })
    void aChunkMayHaveNoTokens(String chunk) throws Exception {
        assertThat(parse(chunk)).isEqualTo(new EngineChunk(-1, List.of(), "", null, -1));
    }

    @Test
    void theFinishReasonIsRead() throws Exception {
        String last = "{'choices':[{'delta':{},'finish_reason':'stop'}]}";
        assertThat(parse(last).finishReason()).isEqualTo("stop");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "null",
                "7",
                "'text'",
                "[]",
                "[{'choices':[]}]",
                "{}",
                "{'usage':{}}",
                "{'choices':null}",
                "{'choices':{}}",
                "{'choices':'none'}",
                "{'choices':[7]}",
                "{'choices':[null]}",
                "{'choices':[[]]}",
                "{'choices':[{'delta':{}},{'delta':{}}]}",
                "{'choices':[]}{'choices':[]}",
                "{'choices':[]} x",
                "{'choices':[],'choices':[]}",
                "{'choices':[{'delta':{}}]"
            })
    void anEventThatIsNoChunkIsBroken(String event) {
        assertBroken(event);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "'7'",
                "7",
                "true",
                "['7',8]",
                "[7,null]",
                "[7,-1]",
                "[7.5]",
                "[7.0]",
                "[2147483648]",
                "[4294967303]",
                "[99999999999999999999]",
                "[[7]]",
                "[{}]"
            })
    void tokenIdsThatCannotBeReadAreBroken(String ids) {
        assertBroken(CHUNK.replace("[7,8]", ids));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "-1",
                "-5",
                "5.5",
                "5.0",
                "'5'",
                "''",
                "true",
                "[5]",
                "{}",
                "null",
                "2147483648",
                "4294967301",
                "99999999999999999999",
                "5,'position':5"
            })
    void aPositionThatCannotBeReadIsBroken(String position) {
        assertBroken(CHUNK.replace("'position':5", "'position':" + position));
    }

    @Test
    void tokensWithoutAPositionAreBroken() {
        assertBroken(CHUNK.replace(",'position':5", ""));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "'delta':{'content':7}",
                "'delta':{'content':['ab']}",
                "'delta':{'content':{}}",
                "'delta':'ab'",
                "'delta':null",
                "'delta':[]",
                "'text':7",
                "'text':null",
                "'other':'ab'"
            })
    void aTextThatCannotBeReadIsBroken(String text) {
        assertBroken(CHUNK.replace("'delta':{'content':'ab'}", text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"''", "7", "true", "false", "{}", "['stop']"})
    void aFinishReasonThatCannotBeReadIsBroken(String reason) {
        assertBroken(CHUNK.replace("'finish_reason':null", "'finish_reason':" + reason));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", "-1", "'0'", "0.5"})
    void anotherChoiceIsBroken(String index) {
        assertBroken(CHUNK.replace("'index':0", "'index':" + index));
    }

    /** Guards against a wrong count of cached tokens that loses an answer, or is believed. */
    @ParameterizedTest
    @ValueSource(strings = {"-3", "1.5", "'9'", "null", "{}", "4294967297", "99999999999999999999"})
    void aCountOfCachedTokensThatCannotBeReadIsIgnored(String count) throws Exception {
        String usage = "{'choices':[],'usage':{'prompt_tokens_details':{'cached_tokens':%s}}}";
        assertThat(parse(usage.formatted("9")).cachedTokens()).isEqualTo(9);
        assertThat(parse(usage.formatted(count)).cachedTokens()).isEqualTo(-1);
    }

    private static void assertBroken(String json) {
        EngineException broken = catchThrowableOfType(EngineException.class, () -> parse(json));
        assertThat(broken).as("the failure of %s", json).isNotNull();
        assertThat(broken.reason()).isEqualTo(Reason.BROKEN);
    }

    private static EngineChunk parse(String json) throws EngineException {
        byte[] bytes = json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return ChunkParser.parse(bytes, 0, bytes.length);
    }
}
