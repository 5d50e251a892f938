package org.gentianwalk.bench.policy;

import java.util.List;
import org.gentianwalk.core.model.Rank;

/**
 * A Poisson stream of requests.
 *
 * @param team the team
 * @param model the model
 * @param rank the rank
 * @param tokensPerSecond mean demand, tokens per second
 * @param prompt median prompt length, tokens
 * @param output mean output length, tokens
 * @param ingress instances that receive the requests; empty for all
 * @param fromSeconds start of the stream
 * @param toSeconds end of the stream
 * @param prefixes number of shared prompt prefixes; 0 for none
 * @param prefixTokens length of a shared prefix, tokens
 */
record Stream(
        String team,
        String model,
        Rank rank,
        double tokensPerSecond,
        int prompt,
        int output,
        List<String> ingress,
        double fromSeconds,
        double toSeconds,
        int prefixes,
        int prefixTokens) {
    Stream(String team, String model, Rank rank, double tokensPerSecond, int prompt, int output) {
        this(
                team,
                model,
                rank,
                tokensPerSecond,
                prompt,
                output,
                List.of(),
                0,
                Double.MAX_VALUE,
                0,
                0);
    }

    Stream startingAt(double seconds) {
        return new Stream(
                team,
                model,
                rank,
                tokensPerSecond,
                prompt,
                output,
                ingress,
                seconds,
                toSeconds,
                prefixes,
                prefixTokens);
    }

    Stream arrivingAt(List<String> instances) {
        return new Stream(
                team,
                model,
                rank,
                tokensPerSecond,
                prompt,
                output,
                instances,
                fromSeconds,
                toSeconds,
                prefixes,
                prefixTokens);
    }

    Stream withPrompt(int tokens) {
        return new Stream(
                team,
                model,
                rank,
                tokensPerSecond,
                tokens,
                output,
                ingress,
                fromSeconds,
                toSeconds,
                prefixes,
                prefixTokens);
    }

    Stream withSharedPrefixes(int number, int tokens) {
        return new Stream(
                team,
                model,
                rank,
                tokensPerSecond,
                prompt,
                output,
                ingress,
                fromSeconds,
                toSeconds,
                number,
                tokens);
    }

    /** Returns the mean cost of a request, tokens. */
    double meanCost() {
        return output + Recorder.PROMPT_COST * (prompt + prefixTokens);
    }
}
