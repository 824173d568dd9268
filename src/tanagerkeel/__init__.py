"""
A serving layer for language-model prompts of widely different lengths.

Entry nodes stand between callers and model engines or plain services.
"""
